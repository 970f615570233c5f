package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

func versionOf(r *tablestore.Record) api.Version {
	return api.Version{
		Version: r.Version, Action: string(r.Action), Operator: r.Operator,
		Comment: r.Comment, Time: r.Time, From: r.From,
	}
}

func sendTable(w http.ResponseWriter, r *tablestore.Record) error {
	content, err := table.Encode(r.Table)
	if err != nil {
		return err
	}
	return sendJSON(w, api.Table{Version: versionOf(r), Table: content})
}

func (s *server) currentTable(w http.ResponseWriter, req bunrouter.Request) error {
	r, err := s.Tables.Get(req.Context())
	if err != nil {
		return tableError(err)
	}
	return sendTable(w, r)
}

// tableError turns store.ErrNotFound into a not-found problem that says that
// there is no table yet. It returns other errors unchanged.
func tableError(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return newProblem(http.StatusNotFound, api.CodeNotFound, "there is no table yet")
	}
	return err
}

func (s *server) version(w http.ResponseWriter, req bunrouter.Request) error {
	v, err := strconv.ParseUint(req.Param("version"), 10, 64)
	if err != nil {
		return badRequest("the version is not a number")
	}
	r, err := s.Tables.Version(req.Context(), v)
	if errors.Is(err, store.ErrNotFound) {
		return newProblem(http.StatusNotFound, api.CodeNotFound, fmt.Sprintf("the history has no version %d", v))
	}
	if err != nil {
		return err
	}
	return sendTable(w, r)
}

func (s *server) history(w http.ResponseWriter, req bunrouter.Request) error {
	before, limit, err := listParams(req)
	if err != nil {
		return err
	}
	records, err := s.Tables.History(req.Context(), before, limit)
	if err != nil {
		return tableError(err)
	}
	list := make([]api.Version, len(records))
	for i, r := range records {
		list[i] = versionOf(r)
	}
	return sendJSON(w, list)
}

func (s *server) apply(w http.ResponseWriter, req bunrouter.Request) error {
	var in api.ApplyRequest
	if err := decodeBody(req, &in); err != nil {
		return err
	}
	t, err := table.ParseWithOptions("table", in.Table, table.Options{Zones: s.Zones})
	if err != nil {
		return err
	}
	op := operatorOf(req.Context())
	result, err := s.Tables.Apply(req.Context(), tablestore.Request{
		Table: t, Base: in.Base, Operator: op, Comment: in.Comment, AllowMerge: in.Merge,
	})
	return s.sendChange(w, op, result, err)
}

func (s *server) rollback(w http.ResponseWriter, req bunrouter.Request) error {
	var in api.RollbackRequest
	if err := decodeBody(req, &in); err != nil {
		return err
	}
	op := operatorOf(req.Context())
	result, err := s.Tables.Rollback(req.Context(), in.To, in.Base, op, in.Comment)
	return s.sendChange(w, op, result, err)
}

// sendChange sends the result of a change, or returns its error. It records accepted
// changes and those with an unknown outcome in the audit trail, but neither rejected
// changes nor those that made no new version.
func (s *server) sendChange(w http.ResponseWriter, op string, result *tablestore.Result, err error) error {
	var unknown *tablestore.OutcomeUnknownError
	if errors.As(err, &unknown) {
		s.Daemon.RecordAudit(op, "table.outcome_unknown", map[string]string{"version": strconv.FormatUint(unknown.Version, 10)})
	}
	if err != nil {
		return err
	}
	r, unchanged := result.Record, result.Changes.Empty()
	if !unchanged {
		s.Daemon.RecordAudit(op, "table.accepted", auditFields(r, result.Changes))
	}
	changes, err := json.Marshal(result.Changes)
	if err != nil {
		return err
	}
	return sendJSON(w, api.ChangeResult{Version: versionOf(r), Unchanged: unchanged, Changes: changes})
}

// maxAuditChanges is the maximum number of changed table entries that an audit entry
// lists.
const maxAuditChanges = 20

func auditFields(r *tablestore.Record, c table.Changes) map[string]string {
	f := map[string]string{
		"version": strconv.FormatUint(r.Version, 10), "action": string(r.Action),
		"changes": strconv.Itoa(len(c.Changes)),
	}
	if r.Comment != "" {
		f["comment"] = r.Comment
	}
	if r.From > 0 {
		f["from"] = strconv.FormatUint(r.From, 10)
	}
	var names []string
	for _, ch := range c.Changes[:min(maxAuditChanges, len(c.Changes))] {
		names = append(names, string(ch.Kind)+" "+ch.Type+" "+ch.ID)
	}
	f["entries"] = strings.Join(names, ", ")
	return f
}

func (s *server) activeVersions(w http.ResponseWriter, req bunrouter.Request) error {
	version, err := uintParam(req, "version", 0)
	if err != nil {
		return err
	}
	if version == 0 {
		r, err := s.Tables.Get(req.Context())
		if err != nil {
			return tableError(err)
		}
		version = r.Version
	}
	return sendJSON(w, activeVersionsOf(version, s.Daemon.Instances()))
}

// Reasons why a version is not active on an instance. The second is a format with the
// version that is active there.
const (
	reasonNotReported  = "has not reported a version"
	reasonOlderVersion = "still uses version %d"
)

func activeVersionsOf(version uint64, instances []api.Instance) api.ActiveVersions {
	active := api.ActiveVersions{Version: version, Everywhere: len(instances) > 0, Instances: []api.InstanceVersion{}}
	for _, in := range instances {
		entry := api.InstanceVersion{Instance: in.ID, Zone: in.Zone, Version: in.TableVersion, InForce: in.TableVersion >= version}
		if !entry.InForce {
			active.Everywhere = false
			entry.Reason = lagReason(in)
		}
		active.Instances = append(active.Instances, entry)
	}
	return active
}

func lagReason(in api.Instance) string {
	reason := reasonNotReported
	if in.TableVersion > 0 {
		reason = fmt.Sprintf(reasonOlderVersion, in.TableVersion)
	}
	if in.Reason != "" {
		reason += ": " + in.Reason
	}
	if in.LastHeardMS > 0 {
		reason += fmt.Sprintf(", last heard %.1f s ago", float64(in.LastHeardMS)/1000)
	}
	return reason
}

func decodeBody(req bunrouter.Request, v any) error {
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return badRequest("the body is not the expected JSON: " + err.Error())
	}
	return nil
}

func sendJSON(w http.ResponseWriter, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(b, '\n')) // fails only if the connection is gone
	return nil
}

func badRequest(detail string) error {
	return newProblem(http.StatusBadRequest, api.CodeBadRequest, detail)
}

var _ Tables = (*tablestore.Tables)(nil)
