// Package frame encodes and decodes responses as streams of frames, and the header that precedes a
// dispatched request body. Each message is preceded by its length as a varint. The package is
// independent of the transport and makes no decisions.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// MaxBytes is the size limit of an encoded frame.
	MaxBytes = 1 << 20
	// MaxHeaderBytes is the size limit of an encoded dispatch header.
	MaxHeaderBytes = 256 << 10
	// MaxChunkBytes is the largest chunk that fits into a frame with any sequence number.
	MaxChunkBytes = MaxBytes - 64
)

// Append appends an encoded frame with its length prefix to dst. It returns *TooLargeError or
// *MalformedError, and dst unchanged with it.
func Append(dst []byte, f *lanepb.Frame) ([]byte, error) {
	return appendMessage(dst, f, MaxBytes)
}

// WriteHeader writes a dispatch header with its length prefix. It returns *TooLargeError,
// *MalformedError or the error of w.
func WriteHeader(w io.Writer, header *lanepb.DispatchHeader) error {
	encoded, err := appendMessage(nil, header, MaxHeaderBytes)
	if err != nil {
		return err
	}
	_, err = w.Write(encoded)
	return errors.Wrap(err, "write dispatch header")
}

// HeaderReader is the input of ReadHeader, such as a *bufio.Reader.
type HeaderReader interface {
	io.Reader
	io.ByteReader
}

// ReadHeader reads a dispatch header and leaves r at the first byte of the body.
// It returns *TooLargeError, *MalformedError, *TruncatedError or the error of r. io.EOF means that
// r was empty.
func ReadHeader(r HeaderReader) (*lanepb.DispatchHeader, error) {
	encoded, err := readMessage(r, nil, MaxHeaderBytes)
	if err != nil {
		return nil, err
	}
	header := &lanepb.DispatchHeader{}
	if err := proto.Unmarshal(encoded, header); err != nil {
		return nil, errors.WithStack(&MalformedError{Cause: err})
	}
	return header, nil
}

func appendMessage(dst []byte, message proto.Message, limit int) ([]byte, error) {
	size := proto.Size(message)
	if size > limit {
		return dst, errors.WithStack(&TooLargeError{Bytes: uint64(size), Limit: limit})
	}
	encoded := binary.AppendUvarint(dst, uint64(size))
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(encoded, message)
	if err != nil {
		return dst, errors.WithStack(&MalformedError{Cause: err})
	}
	return encoded, nil
}

// readMessage reads one message of at most limit bytes. It uses buffer if its capacity suffices and
// allocates a new one otherwise.
func readMessage(r HeaderReader, buffer []byte, limit int) ([]byte, error) {
	size, err := readLength(r)
	if err != nil {
		return nil, err
	}
	if size > uint64(limit) {
		return nil, errors.WithStack(&TooLargeError{Bytes: size, Limit: limit})
	}
	if uint64(cap(buffer)) < size {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	if _, err := io.ReadFull(r, buffer); err != nil {
		return nil, readError(err)
	}
	return buffer, nil
}

func readLength(r io.ByteReader) (uint64, error) {
	var size uint64
	for shift := 0; shift < binary.MaxVarintLen64*7; shift += 7 {
		b, err := r.ReadByte()
		if err == io.EOF && shift == 0 {
			return 0, io.EOF
		}
		if err != nil {
			return 0, readError(err)
		}
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return size, nil
		}
	}
	return 0, errors.WithStack(&MalformedError{})
}

func readError(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errors.WithStack(&TruncatedError{})
	}
	return errors.Wrap(err, "read frame")
}
