package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openUpload begins a request with a body in chunks.
func (f *fixture) openUpload(id string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: api.example\r\nT-Id: %s\r\nT-Key: secret\r\nT-Deadline: 20000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	require.NoError(f.t, err)
	return conn
}

// heapBytes returns the memory in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an instance that exceeds its memory by bodies that callers are sending.
func TestBodiesBeingReadStayWithinMemory(t *testing.T) {
	const processBytes, bodyBytes, uploads = 64 << 20, 4 << 20, 24
	f := startFixture(t, map[string]http.Handler{"desk-1": &backend{handle: func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}}}, func(o *Options) { o.MemoryBytes = processBytes })
	limited := configuration()
	limited.Version, limited.Limits.MaxBodyBytes = 2, bodyBytes
	f.state.Configure(f.clock.now(), limited, nil)
	before := heapBytes()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("b", 16<<10))
	var sending, held sync.WaitGroup
	finish := make(chan struct{})
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range uploads {
		conn := f.openUpload(fmt.Sprint("id-", n))
		held.Add(1)
		sending.Go(func() {
			wait := sync.OnceFunc(held.Done)
			blocked := time.AfterFunc(500*time.Millisecond, wait)
			defer blocked.Stop()
			for range bodyBytes / (16 << 10) {
				if _, err := io.WriteString(conn, chunk); err != nil {
					break
				}
			}
			wait()
			<-finish
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(resp.Body)
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
			if resp.StatusCode == http.StatusOK && string(body) != fmt.Sprint(bodyBytes) {
				statuses[0]++
			}
		})
	}
	held.Wait()
	used := heapBytes() - before
	close(finish)
	sending.Wait()
	t.Logf("%d bytes for %d bodies that were being sent, statuses %v", used, uploads, statuses)
	require.Less(t, used, int64(processBytes))
	require.Positive(t, statuses[http.StatusOK])
	require.Equal(t, uploads, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
	require.Zero(t, f.memory.held.Load(), "bytes that are still reserved")
}

// Guards against bodies that are changed or lost on the way, whatever their length and framing.
func TestBodiesArriveWhole(t *testing.T) {
	f := startFixture(t, map[string]http.Handler{"desk-1": &backend{handle: func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}}})
	client := &http.Client{}
	for _, n := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, smallBodyBytes, smallBodyBytes + 1, 1 << 20, maxBodyBytes} {
		for name, framed := range map[string]bool{"length": true, "chunks": false} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				text := strings.Repeat("0123456789abcdef", n/16+1)[:n]
				var reader io.Reader = strings.NewReader(text)
				if !framed {
					reader = io.MultiReader(reader)
				}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/read/1", reader)
				require.NoError(t, err)
				req.Host = "api.example"
				req.Header.Set("T-Id", "id-1")
				req.Header.Set("T-Key", "secret")
				req.Header.Set("T-Deadline", "20000")
				resp, err := client.Do(req)
				require.NoError(t, err)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.True(t, text == string(got), "%d bytes in place of %d", len(got), n)
			})
		}
	}
	require.Zero(t, f.memory.held.Load(), "bytes that are still reserved")
}
