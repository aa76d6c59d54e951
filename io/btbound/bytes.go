package btbound

import "strings"

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isLetter(b byte) bool { return 'a' <= b|0x20 && b|0x20 <= 'z' }

// isToken reports whether a name may contain the byte (RFC 9110, 5.6.2).
func isToken(b byte) bool {
	return isDigit(b) || isLetter(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isText reports whether a value, a reason or an extension may contain the byte.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func hexDigit(b byte) (byte, bool) {
	switch {
	case isDigit(b):
		return b - '0', true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return b | 0x20 - 'a' + 10, true
	}
	return 0, false
}
