package eventlog

// maxTextBytes is the length to which Truncate cuts a text.
const maxTextBytes = 200

// Truncate cuts a text that other writers or callers have chosen, such as an error that quotes a part of a record of any length, so
// that it does not fill the log.
func Truncate(text string) string {
	if len(text) > maxTextBytes {
		return text[:maxTextBytes] + "..."
	}
	return text
}
