package engine

import (
	"bytes"
	"fmt"
	"testing"

	"pollenspindle.example/pollenspindle/internal/eventstream"
)

// BenchmarkNext measures the cost of one token in the stream reader, without the socket.
func BenchmarkNext(b *testing.B) {
	var input bytes.Buffer
	const tokens = 1000
	for i := 1; i <= tokens; i++ {
		fmt.Fprintf(&input, "id: %d\ndata: {\"id\":\"eefe45fb\",\"object\":\"chat.completion.chunk\",\"created\":1796253623,\"model\":\"flight-briefing\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d-eefe45fb \"},\"finish_reason\":null}]}\n\n", i, i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; {
		s := Stream{events: eventstream.NewReader(bytes.NewReader(input.Bytes()))}
		for ; n < b.N; n++ {
			if _, err := s.Next(); err != nil {
				break
			}
		}
	}
}
