package btbound

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// ErrMalformed means that bytes on a connection are no answer by the grammar of RFC 9112, or
// leave its end open to several readings.
var ErrMalformed = errors.New("malformed answer")

// errSurplus means that bytes follow a complete answer.
var errSurplus = fmt.Errorf("%w: bytes outside an answer", ErrMalformed)

const (
	protocol = "HTTP/1."
	// statusEnd is the length of a status line up to the end of its status.
	statusEnd = len(protocol) + len("1 200")
	// maxStatus is the highest valid status (RFC 9110, 15).
	maxStatus = 599
	// maxLengthDigits and maxChunkDigits are the most digits of a body's and a chunk's
	// length: more may overflow.
	maxLengthDigits = 18
	maxChunkDigits  = 15
	// keptBytes is how much of the beginning of a line, and of a value, is kept: enough
	// for each field that determines a body's length.
	keptBytes = 48
)

// step is what the next byte of an answer belongs to.
type step uint8

const (
	// stepComplete: no answer is due.
	stepComplete step = iota
	stepStatusLine
	stepReason
	stepFieldStart
	stepName
	stepValue
	stepBody
	// stepUntilClose: the body ends with the connection.
	stepUntilClose
	stepChunkSize
	stepChunkPadding
	stepChunkExtension
	stepChunkBody
	stepChunkEnd
)

// answer checks the answers on a connection, and buffers no more than the beginning of a line.
// It accepts what RFC 9112 lets recipients accept and has one meaning: LF alone at the end of a
// header line, no reason, blanks after a chunk's size. It is not safe for concurrent use.
type answer struct {
	step step
	// bodyless reports that the request's method is HEAD.
	bodyless bool
	// afterCR reports that the last byte was a CR, which must be followed by LF.
	afterCR bool
	// trailer reports that the fields are those after a chunked body.
	trailer bool

	// headBytes and fields are the size of the heads so far, and the number of their fields.
	headBytes, fields int

	minor  byte
	status int
	// chunked and sized report that the head has Transfer-Encoding and Content-Length.
	chunked, sized bool
	// length is that of the body, left how much of the body or chunk is still due.
	length, left uint64

	// position is the number of bytes of the line so far, line holds the first of them.
	position, nameEnd int
	line              [keptBytes]byte
	// value holds the first valueLength bytes of a value, without blanks before it.
	value       [keptBytes]byte
	valueLength int
}

// begin prepares for the answer to a request.
func (a *answer) begin(bodyless bool) error {
	if a.step != stepComplete {
		return fmt.Errorf("%w: the answer before it is incomplete", ErrMalformed)
	}
	*a = answer{step: stepStatusLine, bodyless: bodyless}
	return nil
}

// check follows the bytes. It returns how many of them precede the first one that is
// refused. The error wraps ErrMalformed, ErrStatus or ErrFields; it is errSurplus after a
// complete answer.
func (a *answer) check(p []byte) (int, error) {
	for i := 0; i < len(p); {
		switch a.step {
		case stepUntilClose:
			return len(p), nil
		case stepComplete:
			return i, errSurplus
		case stepBody, stepChunkBody:
			n := min(a.left, uint64(len(p)-i))
			a.left -= n
			i += int(n)
			a.endBody()
		default:
			if err := a.next(p[i]); err != nil {
				return i, err
			}
			i++
		}
	}
	return len(p), nil
}

// endBody moves on if the body or chunk is complete.
func (a *answer) endBody() {
	if a.left > 0 {
		return
	}
	if a.step == stepBody {
		a.step = stepComplete
		return
	}
	a.startLine(stepChunkEnd)
}

func (a *answer) startLine(s step) {
	a.step, a.position, a.nameEnd, a.valueLength, a.afterCR = s, 0, 0, 0, false
}

// next follows a byte that is not part of a body.
func (a *answer) next(b byte) error {
	if a.position < keptBytes {
		a.line[a.position] = b
	}
	a.position++
	if a.step < stepBody {
		a.headBytes++
	}
	switch {
	case a.afterCR && b != '\n':
		return a.refuse("CR without LF")
	case b == '\r' && a.mayEnd():
		a.afterCR = true
		return nil
	case b == '\n' && a.mayEnd():
		return a.endLine()
	}
	switch a.step {
	case stepStatusLine:
		return a.nextOfStatusLine(b)
	case stepFieldStart, stepName:
		return a.nextOfName(b)
	case stepChunkSize:
		return a.nextOfChunkSize(b)
	case stepChunkPadding, stepChunkExtension:
		return a.nextOfChunkExtension(b)
	case stepChunkEnd:
		return a.refuse("chunk longer than its size")
	}
	if !isText(b) {
		return a.refuse("control byte")
	}
	if a.step == stepValue {
		a.keepValue(b)
	}
	return nil
}

// mayEnd reports whether the line may end before the next byte.
func (a *answer) mayEnd() bool {
	switch a.step {
	case stepStatusLine:
		return a.position == statusEnd+1 || a.afterCR
	case stepName:
		return false
	case stepChunkSize:
		return a.position > 1
	}
	return true
}

// endLine handles the end of a line.
func (a *answer) endLine() error {
	switch a.step {
	case stepStatusLine, stepReason:
		if a.status < http.StatusContinue || a.status > maxStatus {
			return a.refuseStatus()
		}
		a.startLine(stepFieldStart)
	case stepValue:
		if err := a.endField(); err != nil {
			return err
		}
		a.startLine(stepFieldStart)
	case stepFieldStart:
		if a.trailer {
			a.step = stepComplete
			return nil
		}
		return a.endHead()
	default:
		return a.endChunkLine()
	}
	return nil
}

func (a *answer) nextOfStatusLine(b byte) error {
	i := a.position - 1
	switch {
	case i < len(protocol):
		if b != protocol[i] {
			return a.refuse("no status line")
		}
	case i == len(protocol):
		if !isDigit(b) {
			return a.refuse("no version")
		}
		a.minor = b - '0'
	case i == len(protocol)+1:
		if b != ' ' {
			return a.refuse("no blank before the status")
		}
	case i < statusEnd:
		if !isDigit(b) {
			return a.refuseStatus()
		}
		a.status = 10*a.status + int(b-'0')
	case b != ' ':
		return a.refuseStatus()
	default:
		a.step = stepReason
	}
	return nil
}

func (a *answer) nextOfName(b byte) error {
	switch {
	case isToken(b):
		a.step = stepName
	case a.step == stepFieldStart && (b == ' ' || b == '\t'):
		return a.refuse("blank before a field's name, or a folded line")
	case a.step == stepFieldStart && b == ':':
		return a.refuse("empty name of a field")
	case b == ':':
		a.nameEnd = a.position - 1
		a.fields++
		a.step = stepValue
		if a.fields > MaxFields {
			return fmt.Errorf("%w: over %d", ErrFields, MaxFields)
		}
	default:
		return a.refuse("invalid name of a field")
	}
	return nil
}

func (a *answer) keepValue(b byte) {
	if a.valueLength == 0 && (b == ' ' || b == '\t') {
		return
	}
	if a.valueLength < keptBytes {
		a.value[a.valueLength] = b
	}
	a.valueLength++
}

// endField handles a field that determines the length of the body. In a trailer there is
// none (RFC 9110, 6.5.1).
func (a *answer) endField() error {
	if a.trailer || a.nameEnd > keptBytes {
		return nil
	}
	value := bytes.TrimRight(a.value[:min(a.valueLength, keptBytes)], " \t")
	switch name := a.line[:a.nameEnd]; {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if a.chunked || a.valueLength > keptBytes || !bytes.EqualFold(value, []byte("chunked")) {
			return a.refuse("unknown transfer coding")
		}
		a.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, ok := parseLength(value)
		if !ok || a.valueLength > keptBytes || a.sized && length != a.length {
			return a.refuse("invalid length")
		}
		a.sized, a.length = true, length
	}
	return nil
}

func parseLength(digits []byte) (uint64, bool) {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return 0, false
	}
	n := uint64(0)
	for _, b := range digits {
		if !isDigit(b) {
			return 0, false
		}
		n = 10*n + uint64(b-'0')
	}
	return n, true
}

// endHead determines the length of the body (RFC 9112, 6.3).
func (a *answer) endHead() error {
	empty := a.status < http.StatusOK || a.status == http.StatusNoContent
	switch {
	case a.status == http.StatusSwitchingProtocols:
		return a.refuseStatus()
	case a.chunked && a.minor == 0, a.chunked && a.sized:
		return a.refuse("ambiguous length of the body")
	case empty && (a.chunked || a.length > 0):
		return a.refuse("body after a status that has none")
	case a.status < http.StatusOK:
		*a = answer{step: stepStatusLine, bodyless: a.bodyless, headBytes: a.headBytes, fields: a.fields}
	case empty, a.bodyless, a.status == http.StatusNotModified:
		a.step = stepComplete
	case a.chunked:
		a.left = 0
		a.startLine(stepChunkSize)
	case a.sized:
		a.left, a.step = a.length, stepBody
		a.endBody()
	default:
		a.step = stepUntilClose
	}
	return nil
}

func (a *answer) nextOfChunkSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && a.position <= maxChunkDigits:
		a.left = 16*a.left + uint64(digit)
	case a.position > 1 && b == ';':
		a.step = stepChunkExtension
	case a.position > 1 && (b == ' ' || b == '\t'):
		a.step = stepChunkPadding
	default:
		return a.refuse("invalid size of a chunk")
	}
	return nil
}

func (a *answer) nextOfChunkExtension(b byte) error {
	if a.step == stepChunkPadding && b != ' ' && b != '\t' || !isText(b) {
		return a.refuse("invalid extension of a chunk")
	}
	return nil
}

// endChunkLine handles the end of a chunk's size, or of the chunk. A CR must precede the LF.
func (a *answer) endChunkLine() error {
	switch {
	case !a.afterCR:
		return a.refuse("LF without CR at a chunk")
	case a.step == stepChunkEnd:
		a.startLine(stepChunkSize)
	case a.left > 0:
		a.step = stepChunkBody
	default:
		a.trailer = true
		a.startLine(stepFieldStart)
	}
	return nil
}

// refuse returns the error for the last byte of the line.
func (a *answer) refuse(what string) error {
	return fmt.Errorf("%w: %s: %s", ErrMalformed, what, a.quoteLine())
}

func (a *answer) refuseStatus() error { return fmt.Errorf("%w: %s", ErrStatus, a.quoteLine()) }

// quoteLine quotes the line so far, of a longer one its beginning and its last byte.
func (a *answer) quoteLine() string {
	if a.position <= keptBytes {
		return strconv.Quote(string(a.line[:a.position]))
	}
	return strconv.Quote(string(a.line[:])) + " at byte " + strconv.Itoa(a.position)
}
