package operator

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/internal/operator/api"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"ratio":   func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(pageText))

// pageData is the data of the page template.
type pageData struct {
	Status   api.Status
	InForce  api.ActiveVersions
	Members  []api.Instance
	Services []api.Service
}

// page renders the status page. The page has no scripts and loads no other resources,
// which the Content-Security-Policy enforces.
func (s *server) page(w http.ResponseWriter, _ bunrouter.Request) error {
	st, members := s.Daemon.Status(), s.Daemon.Instances()
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, pageData{
		Status: st, InForce: activeVersionsOf(st.TableVersion, members), Members: members, Services: s.Daemon.Services(),
	})
	if err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'")
	h.Set("Cache-Control", "no-store")
	_, _ = w.Write(b.Bytes())
	return nil
}
