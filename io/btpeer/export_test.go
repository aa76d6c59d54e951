package btpeer

import (
	"bytes"
	"io"
)

// DecodeFrame reads and decodes one frame, as Receive does, for tests of the
// codec without a connection.
func DecodeFrame[T Validator](r io.Reader, limit int) (T, error) {
	b := getBuffer()
	defer putBuffer(b)
	var header [headerBytes]byte
	if err := readFrame(r, &header, b, limit); err != nil {
		var none T
		return none, err
	}
	return decode[T](b.Bytes())
}

// EncodeFrame returns one frame, as Send writes it.
func EncodeFrame(message any, limit int) ([]byte, error) {
	var b bytes.Buffer
	err := appendFrame(&b, message, limit)
	return b.Bytes(), err
}
