package main

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf16"
	"unicode/utf8"
)

// printableWriter escapes non-printable characters, such as control characters and marks that change the direction of
// text. Otherwise names from documents and replies could be displayed as something else than they are. It uses JSON
// escapes, so that valid JSON remains valid.
type printableWriter struct{ w io.Writer }

// Write implements io.Writer. A multi-byte character must not be split between two calls.
func (p printableWriter) Write(text []byte) (int, error) {
	if _, err := io.WriteString(p.w, printable(string(text))); err != nil {
		return 0, err
	}
	return len(text), nil
}

// printable escapes non-printable characters except for newlines and tabs.
func printable(text string) string {
	var b strings.Builder
	for _, r := range text {
		switch {
		case r == '\n' || r == '\t' || (unicode.IsPrint(r) && r != utf8.RuneError):
			b.WriteRune(r)
		case r > 0xFFFF:
			high, low := utf16.EncodeRune(r)
			fmt.Fprintf(&b, `\u%04x\u%04x`, high, low)
		default:
			fmt.Fprintf(&b, `\u%04x`, r)
		}
	}
	return b.String()
}
