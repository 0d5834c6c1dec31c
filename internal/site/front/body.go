package front

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/budget"
)

// maxTimeout bounds the time limit that a caller may give, and with it how long a
// request occupies its connection.
const maxTimeout clock.Millis = clock.Minute

// bodyFailure returns the answer to a request whose body could not be read. The
// request has not run.
func bodyFailure(err error, limit int64) answer {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer{status: http.StatusRequestEntityTooLarge, reason: "the body is over " + strconv.FormatInt(limit, 10) + " bytes"}
	case errors.Is(err, budget.ErrRefused):
		return answer{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: minRetryAfter, closes: true}
	case errors.Is(err, budget.ErrSlow):
		return answer{status: http.StatusRequestTimeout, reason: err.Error(), closes: true}
	}
	return answer{status: http.StatusBadRequest, reason: "the body could not be read"}
}
