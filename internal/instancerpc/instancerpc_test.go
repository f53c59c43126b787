package instancerpc_test

import (
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/test/cutanswer"
)

const jsonField = "Content-Type: application/json\r\n"

// message is both a request and an answer.
type message struct {
	Text string `json:"text,omitempty"`
	// Code is that of a failure.
	Code string `json:"code,omitempty"`
}

// call calls an instance that sends one answer to all calls.
func call(t *testing.T, answer cutanswer.Answer) (*connect.Response[message], error) {
	t.Helper()
	c := instancerpc.NewClient(peer.Key{}, "self", time.Second)
	t.Cleanup(c.CloseIdleConnections)
	rpc := connect.NewClient[message, message](c.HTTP, "http://"+cutanswer.Start(t, answer)+"/service/Method", instancerpc.ClientOptions()...)
	return rpc.CallUnary(t.Context(), connect.NewRequest(&message{Text: "request"}))
}

// Guards against answers of another instance with a malformed head that are taken for its word.
func TestMalformedAnswers(t *testing.T) {
	for bodyName, body := range map[string]string{"message": `{"text":"answer"}`, "failure": `{"code":"not_found"}`} {
		for name, answer := range cutanswer.Malformed(jsonField, body) {
			t.Run(bodyName+", "+name, func(t *testing.T) {
				t.Parallel()
				_, err := call(t, answer)
				require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err), "%v", err)
			})
		}
	}
}

// Guards against valid answers of another instance that are refused because they are unusual.
func TestOddAnswers(t *testing.T) {
	for name, answer := range cutanswer.Odd(jsonField, `{"text":"answer"}`) {
		if answer.Status != http.StatusOK {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resp, err := call(t, answer)
			require.NoError(t, err)
			require.Equal(t, "answer", resp.Msg.Text)
		})
	}
}
