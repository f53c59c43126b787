package balancer

import "time"

// PrefillTime returns the time that an engine takes for the prefill of a prompt, in tokens, besides
// its running generations.
func PrefillTime(tokens int) time.Duration { return prefillTime(tokens) }
