package faultproxy_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/faultproxy"
)

// startEcho starts a server that echoes each line and returns its address.
func startEcho(t *testing.T) string {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s := bufio.NewScanner(c)
				for s.Scan() {
					_, _ = c.Write(append(s.Bytes(), '\n'))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *faultproxy.Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// echoes reports whether a line sent on c comes back within wait.
func echoes(c net.Conn, wait time.Duration) bool {
	if _, err := c.Write([]byte("ping\n")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "ping\n"
}

func TestProxyFaults(t *testing.T) {
	const long, short = 10 * time.Second, 50 * time.Millisecond
	tests := map[string]struct {
		fault     func(*faultproxy.Proxy)
		openWorks bool
		newWorks  bool
	}{
		"pass":                     {fault: func(*faultproxy.Proxy) {}, openWorks: true, newWorks: true},
		"silence open connections": {fault: func(p *faultproxy.Proxy) { p.SilenceOpenConnections() }, newWorks: true},
		"close open connections":   {fault: func(p *faultproxy.Proxy) { p.CloseOpenConnections() }, newWorks: true},
		"refuse connections":       {fault: func(p *faultproxy.Proxy) { p.SetMode(faultproxy.Refuse) }},
		"drop responses":           {fault: func(p *faultproxy.Proxy) { p.SetMode(faultproxy.DropResponses) }},
		"delay":                    {fault: func(p *faultproxy.Proxy) { p.SetDelay(time.Millisecond) }, openWorks: true, newWorks: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := faultproxy.Listen("127.0.0.1:0", startEcho(t))
			require.NoError(t, err)
			defer func() { _ = p.Close() }()
			before := dial(t, p)
			require.True(t, echoes(before, long))
			tt.fault(p)
			wait := map[bool]time.Duration{true: long, false: short}
			require.Equal(t, tt.openWorks, echoes(before, wait[tt.openWorks]), "open connection")
			require.Equal(t, tt.newWorks, echoes(dial(t, p), wait[tt.newWorks]), "new connection")
		})
	}
}
