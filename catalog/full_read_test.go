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

// announcingStore answers with its pages in turn, and repeats the last one.
type announcingStore struct {
	plainStore

	pages []Page
	calls int
}

// Page implements Store.
func (s *announcingStore) Page(context.Context, Feed, string) (Page, error) {
	p := s.pages[min(s.calls, len(s.pages)-1)]
	s.calls++
	return p, nil
}

// pageOf returns a page with records of the given keys.
func pageOf(more bool, keys ...string) Page {
	p := Page{
		Next: 10,
		More: more,
	}
	for i, key := range keys {
		p.Records = append(p.Records, Record{
			Key:    key,
			Value:  []byte("x"),
			Offset: int64(i),
		})
	}
	return p
}

// TestPagesWithoutProgress guards against endpoints that are taken for deleted, and against a read
// without end, if a page announces further records but doesn't lead to them.
func TestPagesWithoutProgress(t *testing.T) {
	for _, row := range []struct {
		name  string
		pages []Page
		err   error
		// left is the number of endpoints that are known afterwards.
		left int
	}{
		{"last page is empty", []Page{pageOf(true, "a"), pageOf(false)}, nil, 1},
		{"empty page announces more", []Page{pageOf(true, "a"), pageOf(true)}, errNoProgress, 2},
		{"first page is empty and announces more", []Page{pageOf(true)}, errNoProgress, 2},
		{"page is repeated", []Page{pageOf(true, "a")}, errNoProgress, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Settings{}, &announcingStore{
				pages: row.pages,
			}, nil, logr.Discard())
			c.apply(Endpoints, pageOf(false, "a", "b").Records, 2, allParts, fromStore)
			_, err := c.readFull(t.Context(), &fullRead{
				feed: Endpoints,
			})
			is.Equal(err, row.err)
			is.Equal(c.endpoints.len(), row.left)
		})
	}
}
