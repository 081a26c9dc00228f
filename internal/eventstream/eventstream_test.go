package eventstream

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// scan returns the events of a stream that comes in parts, and whether it ends inside an event.
func scan(parts ...string) (events []string, inEvent bool) {
	var s Scanner
	for _, part := range parts {
		for data := []byte(part); len(data) > 0; {
			n, event := s.Next(data)
			data = data[n:]
			if event != nil {
				events = append(events, fmt.Sprintf("%q %t %q %t", event.ID, event.HasID, event.Data, event.HasData))
			}
		}
	}
	return events, s.InEvent()
}

func TestEventsEndWithABlankLine(t *testing.T) {
	for _, test := range []struct {
		stream  string
		events  []string
		inEvent bool
	}{
		{"", nil, false},
		{"\ufeff", nil, true},
		{"\ufeff\n\n\r\r\n", nil, false},
		{": comment\n", nil, false},
		{": comment", nil, true},
		{"\ufeffid: 1\ndata\n\n", []string{`"1" true "" true`}, false},
		{"id: 1\n\n\ufeffid: 2\n\n", []string{`"1" true "" false`, `"" false "" false`}, false},
		{"event: token\n", nil, true},
		{"retry", nil, true},
		{"data: a\rdata: b\rid:7\r\r", []string{`"7" true "a" true`}, false},
		{"data: a\r\n\r\n\nid\n", []string{`"" false "a" true`}, true},
		{"data: a\n\r", []string{`"" false "a" true`}, false},
		{"database: a\nidx: 1\n\n", []string{`"" false "" false`}, false},
		{"id: " + strings.Repeat("1", MaxValueBytes+1) + "\n\n", []string{`"" true "" false`}, false},
	} {
		t.Run(fmt.Sprintf("%.40q", test.stream), func(t *testing.T) {
			c := qt.New(t)
			for n := range len(test.stream) + 1 {
				events, inEvent := scan(test.stream[:n], test.stream[n:])
				c.Assert(events, qt.DeepEquals, test.events, qt.Commentf("split at %d", n))
				c.Assert(inEvent, qt.Equals, test.inEvent)
			}
		})
	}
}

// The events of a stream don't depend on the parts in which it comes.
func FuzzParts(f *testing.F) {
	f.Add("id: 1\r\ndata: x\r\r\n: c\n\nevent: y\n", uint8(3))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		c := qt.New(t)
		var parts []string
		for rest := stream; rest != ""; {
			n := min(len(rest), int(size)+1)
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		whole, inEvent := scan(stream)
		events, partsInEvent := scan(parts...)
		c.Assert(events, qt.DeepEquals, whole)
		c.Assert(partsInEvent, qt.Equals, inEvent)
	})
}
