package http1

// MaxAnswerHeads limits the heads of an answer: the interim ones (RFC 9110, 15.2) and the final one.
const MaxAnswerHeads = 8

// IsStatus reports whether status is that of an answer, an interim one too (RFC 9110, 15).
func IsStatus(status int) bool { return 100 <= status && status <= 599 }

// IsFinalStatus reports whether an answer with status ends an exchange that asked for no upgrade.
func IsFinalStatus(status int) bool { return 200 <= status && IsStatus(status) }

// IsFieldName reports whether name is that of a field (RFC 9110, 5.1).
func IsFieldName(name []byte) bool { return isToken(name) }

// IsFieldValue reports whether value has no byte that some parsers take for the end of a line (RFC 9110, 5.5). It may
// have other control bytes, and bytes over 0x7f. The same goes for the reason phrase of a status line.
func IsFieldValue(value []byte) bool { return !hasControl(value) }
