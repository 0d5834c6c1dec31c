package front

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// bodyFailure returns the answer to a request whose body could not be read. The
// request has not run.
func bodyFailure(err error, limit int64) answer {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer{status: http.StatusRequestEntityTooLarge, reason: "the body is over " + strconv.FormatInt(limit, 10) + " bytes"}
	case errors.Is(err, fault.ErrNoMemory):
		return answer{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: minRetryAfter, closes: true}
	case errors.Is(err, fault.ErrTooSlow):
		return answer{status: http.StatusRequestTimeout, reason: err.Error(), closes: true}
	}
	return answer{status: http.StatusBadRequest, reason: "the body could not be read"}
}
