// Package blocks handles bodies that are kept in blocks, so that they need no larger
// memory while they grow.
package blocks

import (
	"bytes"
	"io"
)

// Sizes of blocks. Each block of a body is twice as large as the one before, so that a
// body costs little before it has arrived.
const (
	FirstBytes = 4 << 10
	MaxBytes   = 64 << 10
)

// NextBytes returns the size of the block after one of a size.
func NextBytes(size int64) int64 { return min(2*size, MaxBytes) }

// Fill reads until a block is full. It returns how much of it is filled, and the error
// that ended the reading before, which is io.EOF at the end of r.
func Fill(r io.Reader, block []byte) (int, error) {
	filled := 0
	for filled < len(block) {
		n, err := r.Read(block[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// Length returns the length of a body.
func Length(body [][]byte) int64 {
	length := int64(0)
	for _, block := range body {
		length += int64(len(block))
	}
	return length
}

// NewReader returns a reader of a body.
func NewReader(body [][]byte) io.Reader {
	readers := make([]io.Reader, len(body))
	for i, block := range body {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// Write writes a body.
func Write(w io.Writer, body [][]byte) error {
	for _, block := range body {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}
