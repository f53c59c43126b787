package http1

import "github.com/ansel1/merry/v2"

// chunkState is the part of a chunked body of which bytes are next.
type chunkState int

const (
	// chunkSize is the size of a chunk, extension what may follow it in its line.
	chunkSize chunkState = iota
	extension
	sizeEnd
	chunkData
	dataCR
	dataLF
	// trailerStart is the beginning of a line of the trailer section, trailer the rest of it.
	trailerStart
	trailer
	trailerCR
	// lastLF ends the body.
	lastLF
	bodyEnd
)

// Body is the body of a request of which bytes arrive.
type Body struct {
	// remaining is the number of bytes left of the body, or of the present chunk.
	remaining int64
	chunked   bool
	state     chunkState
	digits    int
	// dropped is the size of the extensions and trailers so far.
	dropped int
}

// NewBody returns the body that follows a head.
func NewBody(h *Head) *Body {
	if h.Chunked {
		return &Body{chunked: true}
	}
	return &Body{remaining: h.Length, state: bodyEnd}
}

// IsComplete reports whether no byte of the body is awaited.
func (b *Body) IsComplete() bool {
	if b.chunked {
		return b.state == bodyEnd
	}
	return b.remaining == 0
}

// Awaited returns how many bytes may be received of a body that isn't complete. Beyond the present chunk it is minRead.
func (b *Body) Awaited() int64 {
	if b.chunked {
		return b.remaining + minRead
	}
	return b.remaining
}

// Next takes the bytes of the body that p begins with. It moves those that a codec needs to the beginning of p:
// kept is their number, used the number of bytes taken. limit is the maximum size of what is dropped.
func (b *Body) Next(p []byte, limit int) (kept, used int, err error) {
	if !b.chunked {
		n := int(min(b.remaining, int64(len(p))))
		b.remaining -= int64(n)
		return n, n, nil
	}
	for used < len(p) && b.state != bodyEnd {
		if b.state == chunkData {
			n := int(min(b.remaining, int64(len(p)-used)))
			copy(p[kept:], p[used:used+n])
			kept, used, b.remaining = kept+n, used+n, b.remaining-int64(n)
			if b.remaining == 0 {
				b.state = dataCR
			}
			continue
		}
		c := p[used]
		used++
		keep, err := b.step(c)
		if err != nil {
			return kept, used, err
		}
		if keep {
			p[kept] = c
			kept++
			continue
		}
		if b.dropped++; b.dropped > limit {
			return kept, used, merry.Wrap(ErrTooLarge, merry.AppendMessage("extensions and trailers"))
		}
	}
	return kept, used, nil
}

// step takes a byte that isn't data, and reports whether a codec needs it.
func (b *Body) step(c byte) (keep bool, err error) {
	switch b.state {
	case chunkSize:
		return b.stepSize(c)
	case extension:
		if c == '\r' {
			b.state = sizeEnd
			return true, nil
		}
		return false, rejectControl(c)
	case sizeEnd:
		b.state = chunkData
		if b.remaining == 0 {
			b.state = trailerStart
		}
		b.digits = 0
		return true, requireByte(c, '\n')
	case dataCR:
		b.state = dataLF
		return true, requireByte(c, '\r')
	case dataLF:
		b.state = chunkSize
		return true, requireByte(c, '\n')
	case trailerStart:
		if c == '\r' {
			b.state = lastLF
			return true, nil
		}
		b.state = trailer
		return false, rejectControl(c)
	case trailer:
		if c == '\r' {
			b.state = trailerCR
			return false, nil
		}
		return false, rejectControl(c)
	case trailerCR:
		b.state = trailerStart
		return false, requireByte(c, '\n')
	case lastLF:
		b.state = bodyEnd
		return true, requireByte(c, '\n')
	case chunkData, bodyEnd:
	}
	return false, malformed("chunk")
}

func (b *Body) stepSize(c byte) (keep bool, err error) {
	digit, ok := hexDigit(c)
	switch {
	case ok && b.digits < maxLengthDigits:
		if b.digits == 0 {
			b.remaining = 0
		}
		b.digits++
		b.remaining = 16*b.remaining + digit
		return true, nil
	case b.digits == 0 || ok:
		return false, malformed("size of a chunk")
	case c == '\r':
		b.state = sizeEnd
		return true, nil
	case c == ';' || c == ' ' || c == '\t':
		b.state = extension
		return false, nil
	}
	return false, malformed("size of a chunk")
}

func hexDigit(c byte) (digit int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

func requireByte(c, want byte) error {
	if c != want {
		return malformed("end of a line in a body")
	}
	return nil
}

func rejectControl(c byte) error {
	if c == '\n' || c == '\r' || c == 0 {
		return malformed("extension or trailer")
	}
	return nil
}
