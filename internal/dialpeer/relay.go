package dialpeer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"pollenspindle.example/pollenspindle/internal/tcpclose"
)

const (
	// maxRelayed limits the connections of other instances, each of which takes two file descriptors.
	maxRelayed = 512
	// maxDialTimeout limits the time that another instance may ask for.
	maxDialTimeout = time.Second
	// upstreamBuffer is the size of the buffer for bytes to the server; a frame from the server holds
	// up to maxFrame bytes.
	upstreamBuffer = 4 << 10
	maxFrame       = 8 << 10
	frameHeader    = 2
)

// keepAlive finds instances that have lost power: the server goes on with their requests until the
// connection is closed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

const switchingProtocols = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n"

// relay is a connection between another instance and a server.
type relay struct {
	instance net.Conn
	// buffered reads from instance, with the bytes that were read ahead.
	buffered *bufio.ReadWriter
	server   network.Conn
	now      func() time.Time
}

func (r *relay) close() {
	_ = r.instance.Close()
	_ = r.server.Close()
}

// run relays until either end closes, and returns once the instance has received what was sent, or doesn't read.
func (r *relay) run() {
	instanceGone := make(chan struct{})
	go func() {
		defer close(instanceGone)
		r.copyToServer()
		// The server goes on with a request until its connection is closed.
		_ = r.server.Close()
	}()
	r.copyFromServer()
	_ = r.server.Close()
	_ = r.instance.SetReadDeadline(time.Unix(1, 0))
	<-instanceGone
	if socket, err := tcpclose.NewSocket(r.instance); err == nil {
		socket.Linger(tcpclose.Options{Now: r.now, Discard: true})
	}
}

// Drain refuses further connections of other instances.
func (p *Peer) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Relayed returns the number of connections of other instances.
func (p *Peer) Relayed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.relayed)
}

// Close closes all connections of other instances.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for r := range p.relayed {
		r.close()
	}
}

// ServeHTTP opens a connection to a server for another instance and relays it until either end closes.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Header.Get(addressHeader)
	sender, err := p.opts.Key.Check(p.opts.Now(), r.Header.Get(authHeader), procedure(address))
	if err != nil {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	millis, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil || millis <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case p.opts.Links.Status().Lost, !p.accepts():
		fail(w, http.StatusServiceUnavailable, causeInstance)
		return
	case p.opts.Links.Failing(p.opts.Now(), address):
		fail(w, http.StatusBadGateway, causeLink)
		return
	}
	timeout := min(maxDialTimeout, time.Duration(millis)*time.Millisecond)
	started := p.opts.Now()
	server, err := p.opts.Direct(r.Context(), address, timeout)
	if err != nil {
		cause := causeInstance
		// A connection to another server meanwhile shows that this instance has working links.
		if p.opts.Links.Status().ConnectedAt.After(started) {
			cause = causeLink
		}
		p.opts.Log.Info().Str("source", sender).Str("address", address).Str("cause", cause).Err(err).Msg("no connection opened for another instance")
		fail(w, http.StatusBadGateway, cause)
		return
	}
	p.serveRelay(w, server)
}

func fail(w http.ResponseWriter, status int, cause string) {
	w.Header().Set(causeHeader, cause)
	w.WriteHeader(status)
}

func (p *Peer) accepts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.draining && len(p.relayed) < maxRelayed
}

func (p *Peer) serveRelay(w http.ResponseWriter, server network.Conn) {
	instance, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		p.opts.Log.Error().Err(err).Msg("connection of another instance can't be relayed")
		return
	}
	r := &relay{instance: instance, buffered: buffered, server: server, now: p.opts.Now}
	if !p.add(r) {
		r.close()
		return
	}
	// An instance that leaves ends once it has no relays: one counts until its connections are closed.
	defer p.remove(r)
	defer r.close()
	if tcp, ok := instance.(interface {
		SetKeepAliveConfig(cfg net.KeepAliveConfig) error
	}); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	if _, err := io.WriteString(instance, switchingProtocols); err != nil {
		return
	}
	r.run()
}

// add counts a connection and reports whether it may be relayed.
func (p *Peer) add(r *relay) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.relayed[r] = struct{}{}
	p.opts.Scope.Gauge("relayed").Update(float64(len(p.relayed)))
	return true
}

func (p *Peer) remove(r *relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.relayed, r)
	p.opts.Scope.Gauge("relayed").Update(float64(len(p.relayed)))
}

// copyToServer sends the instance's bytes to the server until the instance closes its connection. What a server
// doesn't take is dropped: it may have answered before it has read the whole request, and closed.
func (r *relay) copyToServer() {
	buf := make([]byte, upstreamBuffer)
	var writeErr error
	for {
		n, err := r.buffered.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = r.server.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// copyFromServer sends the server's bytes in frames, and an empty frame once the server has closed its
// connection normally.
func (r *relay) copyFromServer() {
	buf := make([]byte, frameHeader+maxFrame)
	for {
		n, err := r.server.Read(buf[frameHeader:])
		if n > 0 && r.sendFrame(buf[:frameHeader+n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = r.sendFrame(buf[:frameHeader])
		}
		if err != nil {
			return
		}
	}
}

// sendFrame sends the bytes that follow the space for the frame's header.
func (r *relay) sendFrame(frame []byte) error {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeader))
	_, err := r.instance.Write(frame)
	return err
}
