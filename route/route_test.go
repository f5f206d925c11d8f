// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package route_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

func table() *route.Table {
	one := func(name, host, prefix string) route.Route {
		return route.Route{
			Name:   name,
			Host:   host,
			Prefix: prefix,
			Shares: []route.Share{{Service: name, Weight: 1}},
		}
	}
	return route.New(3, []route.Route{
		one("root", "a.example", "/"),
		one("deep", "a.example", "/x/y/"),
		one("mid", "a.example", "/x/"),
		one("other", "b.example", "/x/"),
	}, nil, []route.Customer{{ID: "c", Keys: []string{"k"}}}, true, route.Limits{})
}

func TestMatch(t *testing.T) {
	for _, row := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "mid"},
		{"a.example", "/z", "root"},
		{"A.Example:8080", "/x/1", "mid"},
		{"b.example", "/x/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/", ""},
	} {
		t.Run(row.host+row.path, func(t *testing.T) {
			is := is.New(t)
			r := table().Match(row.host, row.path)
			if row.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, row.want)
		})
	}
}

func TestCustomer(t *testing.T) {
	is := is.New(t)
	c, ok := table().Customer("k")
	is.True(ok)
	is.Equal(c.ID, "c")
	_, ok = table().Customer("")
	is.True(!ok)
}

func TestShares(t *testing.T) {
	is := is.New(t)
	r := route.Route{
		Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}},
	}
	n := make(map[string]int)
	for i := range 10_000 {
		id := strconv.Itoa(i)
		is.Equal(r.Service(id), r.Service(id)) // the choice is repeatable
		n[r.Service(id)]++
	}
	is.True(n["b"] > 850 && n["b"] < 1150)
	is.Equal(n["c"], 0)
}

func TestIdempotent(t *testing.T) {
	for _, row := range []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.Safe}, true},
		{route.Route{Kind: route.Unsafe}, false},
		{route.Route{Kind: route.Streaming}, false},
		{route.Route{Kind: route.Streaming, Resumable: true}, true},
		{route.Route{Kind: route.Unsafe, Resumable: true}, false},
	} {
		is := is.New(t)
		is.Equal(row.route.Idempotent(), row.want)
	}
}
