package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

func chunkFrame(sequence uint64, chunk []byte) *lanepb.Frame {
	return &lanepb.Frame{Sequence: sequence, Part: &lanepb.Frame_Chunk{Chunk: chunk}}
}

func TestFramesSurviveTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 5000), 0, 30).Draw(t, "chunks")
		var stream bytes.Buffer
		w := NewWriter(&stream)
		for i, chunk := range chunks {
			if err := w.Write(chunkFrame(uint64(i), chunk)); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		r := NewReader(&stream)
		for i, chunk := range chunks {
			f, err := r.Read()
			if err != nil {
				t.Fatal(err)
			}
			if f.GetSequence() != uint64(i) || !bytes.Equal(f.GetChunk(), chunk) {
				t.Fatalf("frame %d differs", i)
			}
		}
		if _, err := r.Read(); err != io.EOF {
			t.Fatalf("got %v at the end", err)
		}
	})
}

func TestReaderRejectsBadStreams(t *testing.T) {
	encoded, err := Append(nil, chunkFrame(1, []byte("anchor")))
	qt.Assert(t, err, qt.IsNil)
	var truncated *TruncatedError
	for cut := 1; cut < len(encoded); cut++ {
		_, err := NewReader(bytes.NewReader(encoded[:cut])).Read()
		qt.Assert(t, errors.As(err, &truncated), qt.IsTrue, qt.Commentf("cut at %d: %v", cut, err))
	}
	var tooLarge *TooLargeError
	_, err = NewReader(bytes.NewReader(binary.AppendUvarint(nil, MaxBytes+1))).Read()
	qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue)
	var malformed *MalformedError
	_, err = NewReader(bytes.NewReader(bytes.Repeat([]byte{0xff}, 20))).Read()
	qt.Assert(t, errors.As(err, &malformed), qt.IsTrue)
	_, err = NewReader(bytes.NewReader([]byte{1, 0xff})).Read()
	qt.Assert(t, errors.As(err, &malformed), qt.IsTrue)
}

func TestWriterRejectsALargeFrame(t *testing.T) {
	w := NewWriter(io.Discard)
	var tooLarge *TooLargeError
	err := w.Write(chunkFrame(0, make([]byte, MaxBytes)))
	qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue)
	qt.Assert(t, w.Write(chunkFrame(1<<63, make([]byte, MaxChunkBytes))), qt.IsNil)
}

func TestReadHeaderLeavesTheBody(t *testing.T) {
	header := &lanepb.DispatchHeader{DispatchId: "d1", Path: "/v1/chat/completions", Headers: []*lanepb.Header{{Name: "Accept", Value: "x"}}}
	var stream bytes.Buffer
	qt.Assert(t, WriteHeader(&stream, header), qt.IsNil)
	stream.WriteString("the body")
	r := bufio.NewReader(&stream)
	got, err := ReadHeader(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, proto.Equal(got, header), qt.IsTrue)
	body, err := io.ReadAll(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "the body")
	var tooLarge *TooLargeError
	err = WriteHeader(io.Discard, &lanepb.DispatchHeader{Path: strings.Repeat("x", MaxHeaderBytes+1)})
	qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte{0x03, 0x08, 0x01, 0x10})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}
