package service

import "strings"

// hopByHop lists the header fields that belong to one connection (RFC 9110, 7.6.1) or that the
// codec writes itself.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"host", "content-length", "expect",
}

// ConnectionFields returns the header fields that are not forwarded, in lower case: the fixed ones
// and those that the Connection field names.
func ConnectionFields(header []Header) map[string]bool {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, h := range header {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			drop[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// isRequestTarget reports whether s can be part of a request line. A space or line end would start
// another request after this one.
func isRequestTarget(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// isMethod reports whether s is a method name.
func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }) < 0
}
