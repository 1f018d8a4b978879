package main

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf16"
	"unicode/utf8"
)

// printableWriter writes text with every character escaped that a terminal does not print, such as control characters
// and marks that change the direction of text. Names from documents and replies could otherwise show something else
// than they hold. The escapes are those of JSON, so JSON stays JSON.
type printableWriter struct{ w io.Writer }

// Write implements io.Writer. A character must not be split over two calls.
func (p printableWriter) Write(text []byte) (int, error) {
	if _, err := io.WriteString(p.w, printable(string(text))); err != nil {
		return 0, err
	}
	return len(text), nil
}

// printable escapes what is not printable, except for line ends and tabs.
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
