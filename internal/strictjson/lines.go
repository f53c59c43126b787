package strictjson

import (
	"bytes"
	"fmt"
	"sort"
)

// lineIndex holds the offset at which each line starts.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	starts := lineIndex{0}
	for offset := 0; ; {
		n := bytes.IndexByte(data[offset:], '\n')
		if n < 0 {
			return starts
		}
		offset += n + 1
		starts = append(starts, offset)
	}
}

func (l lineIndex) position(offset int) Position {
	line := sort.Search(len(l), func(i int) bool { return l[i] > offset })
	return Position{Line: line, Column: offset - l[line-1] + 1}
}

// checkLimits returns the offset and the message of the first bracket that is nested deeper than
// [MaxDepth] or of the first separator above [MaxSeparators]; the message is empty if the input is
// within the limits. It skips strings and comments and checks nothing else.
func checkLimits(data []byte) (offset int, message string) {
	depth, separators := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',', ':':
			separators++
		}
		if depth > MaxDepth {
			return i, fmt.Sprintf("is nested deeper than %d levels", MaxDepth)
		}
		if separators > MaxSeparators {
			return i, fmt.Sprintf("holds more than %d commas and colons", MaxSeparators)
		}
	}
	return 0, ""
}

// skipString returns the offset of the closing quote of the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i if there is none.
func skipComment(data []byte, i int) int {
	end, skip := "", 0
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end, skip = "\n", 2
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end, skip = "*/", 2
	default:
		return i
	}
	n := bytes.Index(data[i+skip:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + skip + n + len(end) - 1
}
