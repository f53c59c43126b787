package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/ansel1/merry/v2"
)

// chunkBufferBytes is the size of the buffer of a chunked body, and the longest line of a trailer.
const chunkBufferBytes = 4 << 10

// codecChunked is the content length with which the codec marks a chunked body.
const codecChunked = -1

// chunkedBody is a chunked body that is read as it comes. The codec would hold each chunk whole, and trailers
// of any length.
type chunkedBody struct {
	conn   *bufio.Reader
	chunks io.Reader
	err    error
}

func newChunkedBody(conn io.Reader) *chunkedBody {
	r := bufio.NewReaderSize(conn, chunkBufferBytes)
	return &chunkedBody{conn: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements io.Reader; io.EOF means that the body and its trailers are complete.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.skipTrailers()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	b.err = err
	return n, err
}

// skipTrailers reads up to the end of the trailers and returns io.EOF, or an error if they don't end.
func (b *chunkedBody) skipTrailers() error {
	for held := 0; held <= maxHeadBytes; {
		line, err := b.conn.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return merry.Wrap(ErrTooLarge)
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return io.EOF
		}
		held += len(line)
	}
	return merry.Wrap(ErrTooLarge)
}
