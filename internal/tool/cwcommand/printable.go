package cwcommand

import (
	"strings"
	"unicode"
)

// printable returns a text of an operator or a caller for one line of the output: characters that
// would end the line or control the terminal are replaced.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}
