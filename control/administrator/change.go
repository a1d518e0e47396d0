package administrator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
)

// maxIdempotency is the longest Idempotency-Key in bytes.
const maxIdempotency = 256

// propose commits a change of an operator and returns its result.
func (a *Administrator) propose(c echo.Context, command *assigner.Command) (assigner.Result, error) {
	if err := a.requireLeader(c); err != nil {
		return assigner.Result{}, err
	}
	command.Time = time.Now().UnixMilli()
	data, err := assigner.Encode(command)
	if err != nil {
		return assigner.Result{}, Error.New("encoding the change: %w", err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTime)
	defer cancel()
	proposal, err := a.replica.Propose(ctx, data)
	if err != nil {
		return assigner.Result{}, Error.New("committing the change: %w", err)
	}
	result, ok := proposal.Result.(assigner.Result)
	if !ok {
		return assigner.Result{}, Error.New("result of type %T", proposal.Result)
	}
	return result, nil
}

// conditionOf reads the condition of a change from the header.
func conditionOf(c echo.Context) (assigner.Condition, error) {
	header := c.Request().Header
	condition := assigner.Condition{Idempotency: header.Get(messenger.HeaderIdempotency)}
	if len(condition.Idempotency) > maxIdempotency {
		return condition, refuse(http.StatusBadRequest, "malformed", "Idempotency-Key is longer than 256 bytes")
	}
	match := header.Get("If-Match")
	none := header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return condition, refuse(http.StatusBadRequest, "malformed", "If-Match and If-None-Match exclude each other")
	case none != "" && none != "*":
		return condition, refuse(http.StatusBadRequest, "malformed", "If-None-Match must be *")
	case match == "":
		return condition, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || revision == 0 {
		return condition, refuse(http.StatusBadRequest, "malformed", `If-Match must be an ETag such as "17"`)
	}
	condition.Revision = revision
	return condition, nil
}

func etagOf(revision uint64) string {
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

// finish answers a change by its result. T is the type of the changed value.
func finish[T any](c echo.Context, result assigner.Result) error {
	switch result.Verdict {
	case assigner.VerdictApplied:
		c.Response().Header().Set("ETag", etagOf(result.Revision))
		return c.JSON(http.StatusOK, messenger.Accepted{Revision: result.Revision})
	case assigner.VerdictConflict:
		return conflictOf[T](result)
	case assigner.VerdictInvalid:
		return refuse(http.StatusUnprocessableEntity, "invalid", result.Field+": "+result.Reason)
	case assigner.VerdictMismatch:
		return refuse(http.StatusUnprocessableEntity, "mismatch", result.Reason)
	case assigner.VerdictAbsent:
		return refuse(http.StatusNotFound, "absent", result.Reason)
	}
	return Error.New("verdict %d", result.Verdict)
}

// conflictOf refuses a change that was made from an old revision and shows the
// current value.
func conflictOf[T any](result assigner.Result) error {
	found := refuse(http.StatusPreconditionFailed, "conflict", "the value changed since; the current one is shown")
	found.problem.Revision = result.Revision
	if result.Current == nil {
		found.problem.Detail = "there is no such value now"
		return found
	}
	current := new(T)
	if err := msgpack.Unmarshal(result.Current, current); err != nil {
		return Error.New("decoding the current value: %w", err)
	}
	found.problem.Current = current
	return found
}
