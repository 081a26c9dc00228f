package crowd

import (
	"encoding/binary"
	"strings"
)

// HTTP/2 frame types and flags (RFC 9113, section 6), and the size of a frame's header.
const (
	frameData      = 0x0
	frameHeaders   = 0x1
	frameReset     = 0x3
	framePing      = 0x6
	frameContinued = 0x9

	flagEndStream  = 0x1
	flagEndHeaders = 0x4

	frameHeaderBytes = 9
)

const (
	// http2Preface begins a connection; an empty SETTINGS frame follows it.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	// largeFrame is the length that a crowd announces for a frame that it doesn't send.
	largeFrame = 1 << 20
	// http2Clients is the number of clients that speak HTTP/2.
	http2Clients = 300
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream int, payload string) string {
	return frameHead(len(payload), kind, flags, stream) + payload
}

func frameHead(length int, kind, flags byte, stream int) string {
	head := make([]byte, frameHeaderBytes)
	binary.BigEndian.PutUint32(head, uint32(length)<<8|uint32(kind))
	head[4] = flags
	binary.BigEndian.PutUint32(head[5:], uint32(stream))
	return string(head)
}

// headerBlock returns the header fields of a request in HPACK (RFC 7541), without dynamic entries.
func headerBlock(method, path string) string {
	literal := func(index byte, value string) string { return string([]byte{index, byte(len(value))}) + value }
	// Indexes of the static table: 2 :method, 4 :path, 6 :scheme http, 1 :authority.
	return literal(0x02, method) + literal(0x04, path) + "\x86" + literal(0x01, "s")
}

// streamID returns the i-th stream that a client opens.
func streamID(i int) int { return 2*i + 1 }

// HTTP2 returns the crowds that speak HTTP/2 without end. The path is one that a server answers without a body.
func HTTP2(path string) []Crowd {
	get, post := headerBlock("GET", path), headerBlock("POST", path)
	opened := func(flags byte, block string) func(int) string {
		return func(i int) string { return frame(frameHeaders, flags|flagEndHeaders, streamID(i), block) }
	}
	return []Crowd{
		{Name: "HTTP/2, nothing after the preface", clients: silent, head: http2Preface},
		{Name: "HTTP/2, a large frame that is not sent", clients: http2Clients, head: http2Preface + frameHead(largeFrame, frameData, 0, 1)},
		{Name: "HTTP/2, pings without end", clients: http2Clients, head: http2Preface, repeat: strings.Repeat(frame(framePing, 0, 0, "12345678"), 60)},
		{Name: "HTTP/2, a head without end", clients: http2Clients, head: http2Preface + frame(frameHeaders, 0, 1, get),
			repeat: frame(frameContinued, 0, 1, "\x00\x01x\x7f\x81\x06"+strings.Repeat("x", 896))},
		{Name: "HTTP/2, streams without end", clients: http2Clients, head: http2Preface, repeats: opened(flagEndStream, get)},
		{Name: "HTTP/2, streams opened and reset", clients: http2Clients, head: http2Preface,
			repeats: func(i int) string {
				return opened(flagEndStream, get)(i) + frame(frameReset, 0, streamID(i), "\x00\x00\x00\x08")
			}},
		{Name: "HTTP/2, bodies that are not sent", clients: http2Clients, head: http2Preface, repeats: opened(0, post)},
		{Name: "HTTP/2, bodies", clients: http2Clients, head: http2Preface,
			repeats: func(i int) string {
				return opened(0, post)(i) + frame(frameData, 0, streamID(i), strings.Repeat("{", 16<<10))
			}},
	}
}
