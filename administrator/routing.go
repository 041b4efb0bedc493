package administrator

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/carawaybeam/carawaybeam/checker"
)

// routing returns the routing configuration in force on this entry, with hashes instead of API keys. It
// serves one request at a time, because the answer may be as large as the configuration.
func (v *Viewer) routing(c *echo.Context) error {
	if !v.routingMu.TryLock() {
		return c.JSON(
			http.StatusServiceUnavailable,
			errorResponse{Detail: "the entry answers another request, try again"},
		)
	}
	defer v.routingMu.Unlock()
	if v.options.Routing == nil {
		return c.JSON(http.StatusNotFound, errorResponse{Detail: "this entry has no routing configuration"})
	}
	routing, ok := v.options.Routing()
	if !ok {
		return c.JSON(http.StatusNotFound, errorResponse{Detail: "no routing configuration is in force yet"})
	}
	return c.JSON(http.StatusOK, checker.NewSnapshot(routing))
}
