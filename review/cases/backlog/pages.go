// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// What the platform's pages say of the store's answers.
const (
	// maxRead is the size of the records in the answer to a read that names no other limit.
	maxRead = 1024 << 10
	// answerDelay is the time of an answer, and readBytesPerSecond the speed of reads.
	answerDelay        = 4 * time.Millisecond
	readBytesPerSecond = 80e6
	// offsetsBytes is the size of the two offsets before the records, and lengthBytes that of the
	// length before each record.
	offsetsBytes = 16
	lengthBytes  = 4
)

// pages gives the answers of a store their delay and limits the size of reads.
type pages struct {
	store *platformtest.Store
}

// ServeHTTP implements http.Handler.
func (p pages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	if r.URL.Query().Get("from") == "" {
		p.store.ServeHTTP(w, r)
		return
	}
	held := &answer{
		header: w.Header(),
		status: http.StatusOK,
	}
	p.store.ServeHTTP(held, r)
	data := held.body.Bytes()
	if held.status == http.StatusOK {
		data = limited(data)
	}
	time.Sleep(time.Duration(float64(len(data)) / readBytesPerSecond * float64(time.Second)))
	w.WriteHeader(held.status)
	// The caller may have closed the connection.
	_, _ = w.Write(data)
}

// limited returns the answer to a read with as many whole records as the limit allows, but at least
// one.
func limited(data []byte) []byte {
	end := offsetsBytes
	for end < len(data) {
		next := end + lengthBytes + int(binary.BigEndian.Uint32(data[end:]))
		if next-offsetsBytes > maxRead && end > offsetsBytes {
			break
		}
		end = next
	}
	return data[:min(end, len(data))]
}

// answer holds an answer back.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.status = status
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	return a.body.Write(p)
}
