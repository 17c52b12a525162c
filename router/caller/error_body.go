package caller

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/fault"
)

// errorBody is the error envelope of the OpenAI API, extended by the number, claim and remedy of the fault.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    fault.Code  `json:"code"`
	Number  string      `json:"number"`
	Claim   fault.Claim `json:"claim"`
	Remedy  string      `json:"remedy"`
}

func newErrorBody(e *fault.Error) errorBody {
	return errorBody{errorDetail{
		Message: e.Error(), Type: errorType(e.Kind.Status), Code: e.Kind.Code, Number: e.Kind.Number,
		Claim: e.Kind.Claim, Remedy: e.Kind.Remedy,
	}}
}

func errorType(status int) string {
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

// handleError writes err as a typed fault. The X-Should-Retry header keeps client libraries from automatically retrying
// a request that may have run.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := asFault(err)
	s.Metrics.Counter("refusals", "code", string(e.Kind.Code)).Inc(1)
	h := c.Response().Header()
	if e.Kind.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(e.Kind.RetryAfter.Seconds())))
	}
	retry := e.Kind.Claim == fault.NotRun && e.Kind.RetryAfter > 0
	h.Set("X-Should-Retry", strconv.FormatBool(retry))
	_ = c.JSON(e.Kind.Status, newErrorBody(e))
}

// asFault converts an error to a fault. A body over the size limit and a client error of echo become bad_request.
func asFault(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.BadRequest, "the body is over %d bytes", tooLarge.Limit)
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		return fault.Wrap(fault.BadRequest, err, "request")
	}
	return fault.As(err)
}
