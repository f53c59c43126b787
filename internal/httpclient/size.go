package httpclient

import "github.com/cloudwego/hertz/pkg/protocol"

// Size returns the sizes in bytes of a request and of its response, which must not be streamed. The
// response headers are counted as the codec would write them, because the codec doesn't say how
// many bytes it read.
func Size(req *protocol.Request, resp *Response) (sent, received int64) {
	sent = int64(len(req.Header.Header()) + len(req.Body()))
	received = int64(len(resp.Header.Header()) + len(resp.Bytes()))
	return sent, received
}
