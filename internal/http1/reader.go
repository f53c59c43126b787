package http1

// Options configures a [Reader].
type Options struct {
	// MaxHeadBytes returns the maximum size of a request line, of the header fields of a request, and of the
	// extensions and trailers of a body.
	MaxHeadBytes func() int
	// Reserve is called before further bytes of a head are held that isn't complete, with the number of bytes held then.
	Reserve func(n int) error
	// Admit is called with each complete head before it is handed out.
	Admit func(h *Head) error
	// Complete is called once nothing more of a request is awaited.
	Complete func()
	// HTTP2 says that a connection may begin with HTTP/2, whose bytes are handed out as they come.
	HTTP2 bool
}

// Reader reads the requests of a connection for a codec. It isn't safe for concurrent use.
type Reader struct {
	opts Options
	// buf holds bytes that were received and not handed out.
	buf  []byte
	head Head
	// ready is the number of bytes of buf that belong to an admitted head.
	ready int
	// body is nil while a head is awaited.
	body *Body
	// opaque is set once the connection speaks another protocol.
	opaque bool
	err    error
}

// NewReader returns a reader of a new connection.
func NewReader(opts Options) *Reader { return &Reader{opts: opts} }

// Buffered returns the number of bytes that were received and not handed out, without empty lines between requests.
func (r *Reader) Buffered() int {
	if r.IsBetweenRequests() {
		r.drop(len(r.buf) - len(skipEmptyLines(r.buf)))
	}
	return len(r.buf)
}

// AwaitsHead reports whether no head is complete whose request isn't.
func (r *Reader) AwaitsHead() bool { return r.body == nil && r.ready == 0 && !r.opaque }

// IsBetweenRequests reports whether the last request was handed out to its end.
func (r *Reader) IsBetweenRequests() bool { return r.AwaitsHead() && r.head.Bytes == 0 }

// minRead is the smallest buffer that is filled for a head, maxRead the largest: what follows the request is held.
const (
	minRead = 512
	maxRead = 4 << 10
)

// Read fills p with bytes of requests, which receive gets from the connection.
func (r *Reader) Read(p []byte, receive func(p []byte) (int, error)) (int, error) {
	for r.err == nil {
		switch {
		case r.ready > 0:
			return r.handOut(p), nil
		case r.opaque:
			return r.take(p, receive)
		case r.body != nil:
			n, err := r.readBody(p, receive)
			if n > 0 || err != nil {
				return n, err
			}
		default:
			n, err := r.readHead(p, receive)
			if n > 0 || err != nil {
				return n, err
			}
		}
	}
	return 0, r.err
}

// fail makes all further reads fail.
func (r *Reader) fail(err error) error {
	r.err, r.buf = err, nil
	return err
}

// handOut copies the admitted head.
func (r *Reader) handOut(p []byte) int {
	n := copy(p, r.buf[:r.ready])
	r.drop(n)
	if r.ready -= n; r.ready == 0 {
		r.beginBody()
	}
	return n
}

// drop removes the first n bytes of buf.
func (r *Reader) drop(n int) {
	if r.buf = r.buf[n:]; len(r.buf) == 0 {
		r.buf = nil
	}
}

func (r *Reader) beginBody() {
	if r.opaque = r.head.HTTP2; !r.opaque {
		r.body = NewBody(&r.head)
	}
	r.head = Head{}
	if r.body != nil && r.body.IsComplete() {
		r.complete()
	}
}

// Switch hands out all further bytes as they come: the connection speaks another protocol.
func (r *Reader) Switch() { r.opaque = true }

// IsOpaque reports whether the connection speaks another protocol.
func (r *Reader) IsOpaque() bool { return r.opaque }

func (r *Reader) complete() {
	r.body = nil
	if r.opts.Complete != nil {
		r.opts.Complete()
	}
}

// take returns bytes as they come.
func (r *Reader) take(p []byte, receive func(p []byte) (int, error)) (int, error) {
	if len(r.buf) > 0 {
		n := copy(p, r.buf)
		r.drop(n)
		return n, nil
	}
	return receive(p)
}

// readBody reads bytes of a body. It returns none if all that came was dropped. It receives few bytes beyond what the
// body is known to have: those of a further request would be held without room for them.
func (r *Reader) readBody(p []byte, receive func(p []byte) (int, error)) (int, error) {
	n, err := r.take(p[:min(int64(len(p)), r.body.Awaited())], receive)
	if n == 0 {
		return 0, err
	}
	kept, used, bodyErr := r.body.Next(p[:n], r.opts.MaxHeadBytes())
	if bodyErr != nil {
		return 0, r.fail(bodyErr)
	}
	if used < n {
		r.buf = append(append(make([]byte, 0, n-used+len(r.buf)), p[used:n]...), r.buf...)
	}
	if r.body.IsComplete() {
		r.complete()
	}
	if kept > 0 {
		err = nil
	}
	return kept, err
}

// readHead receives bytes of a head until it is complete. It returns a head at once, with what came of its body, if
// all of it is in p.
func (r *Reader) readHead(p []byte, receive func(p []byte) (int, error)) (int, error) {
	if len(r.buf) > 0 {
		if scanned, err := r.scanBuffered(); scanned || err != nil {
			return 0, err
		}
	}
	q := p[:min(len(p), maxRead)]
	if len(q) < minRead {
		q = make([]byte, minRead)
	}
	n, err := receive(q)
	if n == 0 {
		return 0, err
	}
	if len(r.buf) == 0 && len(p) >= minRead {
		return r.scanReceived(p[:n])
	}
	return 0, r.hold(q[:n])
}

// hold adds received bytes to those of a head that wasn't complete before.
func (r *Reader) hold(received []byte) error {
	if r.opts.Reserve != nil {
		if err := r.opts.Reserve(len(r.buf) + len(received)); err != nil {
			return r.fail(err)
		}
	}
	r.buf = append(r.buf, received...)
	_, err := r.scanBuffered()
	return err
}

// scanBuffered looks for a head in buf, and reports whether there is a complete one.
func (r *Reader) scanBuffered() (complete bool, err error) {
	if r.head.Bytes == 0 {
		r.drop(len(r.buf) - len(skipEmptyLines(r.buf)))
	}
	complete, err = r.scan(r.buf)
	if complete {
		r.ready = r.head.Bytes
	}
	return complete, err
}

// scanReceived looks for a head in bytes that follow no others. It hands out the head, and what came of its body.
func (r *Reader) scanReceived(p []byte) (int, error) {
	begin := skipEmptyLines(p)
	copy(p, begin)
	p = p[:len(begin)]
	complete, err := r.scan(p)
	if err != nil {
		return 0, err
	}
	if !complete {
		return 0, r.holdFirst(p)
	}
	n := r.head.Bytes
	r.beginBody()
	if r.body != nil && len(p) > n {
		kept, used, err := r.body.Next(p[n:], r.opts.MaxHeadBytes())
		if err != nil {
			return 0, r.fail(err)
		}
		r.buf = append(r.buf, p[n+used:]...)
		if r.body.IsComplete() {
			r.complete()
		}
		return n + kept, nil
	}
	r.buf = append(r.buf, p[n:]...)
	return n, nil
}

// holdFirst keeps the beginning of a head, which was scanned.
func (r *Reader) holdFirst(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if r.opts.Reserve != nil {
		if err := r.opts.Reserve(len(p)); err != nil {
			return r.fail(err)
		}
	}
	r.buf = append(r.buf, p...)
	return nil
}

// scan scans a head and admits it once it is complete.
func (r *Reader) scan(buf []byte) (complete bool, err error) {
	if len(buf) == 0 {
		return false, nil
	}
	if complete, err = r.head.Scan(buf, r.opts.MaxHeadBytes()); err != nil {
		return false, r.fail(err)
	}
	if complete && r.head.HTTP2 && !r.opts.HTTP2 {
		return false, r.fail(malformed("version"))
	}
	if complete && r.opts.Admit != nil {
		if err := r.opts.Admit(&r.head); err != nil {
			return false, r.fail(err)
		}
	}
	return complete, nil
}

// skipEmptyLines skips empty lines before a request line (RFC 9112, 2.2).
func skipEmptyLines(p []byte) []byte {
	for len(p) > 0 && (p[0] == '\r' || p[0] == '\n') {
		p = p[1:]
	}
	return p
}
