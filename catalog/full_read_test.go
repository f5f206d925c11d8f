// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// pagedStore returns one endpoint per page, and fails every other read. The offset Next grows
// with each read. It implements only Page and Decode.
type pagedStore struct {
	plainStore

	pages []string
	asked []string
}

var errPage = errors.New("injected failure")

// Page implements Store.
func (s *pagedStore) Page(_ context.Context, _ Feed, after string) (Page, error) {
	s.asked = append(s.asked, after)
	if len(s.asked)%2 == 1 {
		return Page{}, errPage
	}
	for i, key := range s.pages {
		if key > after {
			return Page{
				Records: []Record{{
					Key:    key,
					Value:  []byte("x"),
					Offset: int64(i),
				}},
				Next: int64(len(s.pages) + len(s.asked)),
				More: i+1 < len(s.pages),
			}, nil
		}
	}
	return Page{}, nil
}

// TestFullReadResumes checks that a full read repeats only the page that failed, and that it
// returns the offset of its first page.
func TestFullReadResumes(t *testing.T) {
	is := is.New(t)
	s := &pagedStore{
		pages: []string{"a", "b", "c", "d"},
	}
	c := New(Settings{}, s, nil, logr.Discard())
	whole := &fullRead{
		feed: Endpoints,
	}
	var next int64
	err := errPage
	for failures := 0; err != nil; failures++ {
		is.True(failures <= len(s.pages))
		next, err = c.readFull(t.Context(), whole)
	}
	is.Equal(s.asked, []string{"", "", "a", "a", "b", "b", "c", "c"}) // each page is retried once, none is read again
	is.Equal(next, int64(len(s.pages)+2))
	is.Equal(c.endpoints.len(), len(s.pages))
	is.Equal(*whole, fullRead{feed: Endpoints})
}
