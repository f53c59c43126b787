// Package errortext formats an error with its causes for operators, in logs and on the command line.
// It is never used in responses to callers, since causes reveal internal details.
//
// # Usage
//
//	fmt.Fprintln(w, errortext.Of(err)) // instance could not start: listen tcp ...: address already in use
package errortext

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// maxCauses limits the text of an error that was wrapped many times.
const maxCauses = 8

// Of returns the message of err followed by those of its causes, outermost first, or the empty string
// for nil. merry's Error returns only the outermost message, which says that an instance could not
// start but not that its address was already in use.
func Of(err error) string {
	var parts []string
	for ; err != nil && len(parts) < maxCauses; err = merry.Cause(err) {
		text := err.Error()
		if n := len(parts); n == 0 || !strings.Contains(parts[n-1], text) {
			parts = append(parts, text)
		}
	}
	return strings.Join(parts, ": ")
}
