package direct

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/explain"
)

// operatorsHandler returns the handler for operators: metrics, and explanations of where a request would go. It is served on
// the metrics port, which callers do not reach.
func operatorsHandler(h *handler) http.Handler {
	mux := echo.New()
	mux.GET("/metrics", func(c echo.Context) error { h.metrics.Write(c.Response()); return nil })
	mux.POST(explain.Path, func(c echo.Context) error {
		report, err := h.explainBody(c.Request())
		if err != nil {
			f := explain.NewFault(err, 0)
			return c.JSON(f.Status, f)
		}
		return c.JSON(http.StatusOK, report)
	})
	return mux
}

func (h *handler) explainBody(r *http.Request) (*explain.Report, error) {
	q, err := explain.ReadQuery(r.Body)
	if err != nil {
		return nil, err
	}
	return h.explain(q)
}
