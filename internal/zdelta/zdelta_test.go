// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package zdelta_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/zdelta"
)

func TestPack(t *testing.T) {
	base := []byte(strings.Repeat("a route of the configuration, ", 1000))
	text := append([]byte("changed "), base...)
	for _, row := range []struct {
		name string
		base []byte
		most int
	}{
		{"alone", nil, 400},
		{"against a base", base, 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			data, err := zdelta.Pack(text, row.base)
			is.NoErr(err)
			is.True(len(data) < row.most)
			got, err := zdelta.Unpack(data, row.base)
			is.NoErr(err)
			is.Equal(string(got), string(text))
		})
	}
	t.Run("without its base", func(t *testing.T) {
		is := is.New(t)
		data, err := zdelta.Pack(text, base)
		is.NoErr(err)
		_, err = zdelta.Unpack(data, nil)
		is.True(err != nil)
	})
}
