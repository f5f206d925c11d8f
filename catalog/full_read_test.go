// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// pagedStore has endpoints in pages of one, of which each second read fails. Each read finds
// the end of the feed further on. Only Page and Decode may be called.
type pagedStore struct {
	plainStore

	pages []string
	asked []string
}

var errPage = errors.New("page not read")

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

// TestFullReadResumes looks that a read which fails on the way goes on from its last page, and is
// followed from where the first page said.
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
	is.Equal(s.asked, []string{"", "", "a", "a", "b", "b", "c", "c"}) // each page once more, none anew
	is.Equal(next, int64(len(s.pages)+2))
	is.Equal(c.endpoints.len(), len(s.pages))
	is.Equal(*whole, fullRead{feed: Endpoints})
}
