package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/jsonc"
)

// Prefixes of environment variables. The rest of the name is the JSON path in
// upper case with underscores: BORAGEGATED_LISTEN_CALLER sets listen.caller.
const (
	DaemonEnvPrefix = "BORAGEGATED_"
	ToolEnvPrefix   = "BORAGEGATE_"
)

// Override is a value that takes precedence over the file.
type Override struct {
	// Origin names the source in findings, for example "environment variable BORAGEGATED_ZONE".
	Origin string
	// Path is the JSON path.
	Path  string
	Value string
}

// Options are what a check needs besides the settings.
type Options struct {
	// StoreModules are the known modules; nil accepts every module.
	StoreModules []string
	// CheckStore checks Store.Config of the daemon; nil skips it.
	CheckStore func(Store) error
}

// ParseDaemon reads the settings of an instance. The error is a finding.List.
func ParseDaemon(file string, data []byte, overrides []Override, o Options) (*Daemon, error) {
	d := DefaultDaemon()
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	doc.Decode(d)
	list := applyOverrides(d, overrides)
	d.setAdvertiseDefaults()
	doc.AddFindings(d.Check(o))
	if err := append(list, doc.Findings()...).Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseTool reads the settings of the tool. The error is a finding.List.
func ParseTool(file string, data []byte, overrides []Override) (*Tool, error) {
	t := DefaultTool()
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	doc.Decode(t)
	list := applyOverrides(t, overrides)
	doc.AddFindings(t.Check())
	if err := append(list, doc.Findings()...).Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// LoadDaemon reads the file and applies the environment (as os.Environ returns
// it) and then the flags, each "path=value".
func LoadDaemon(path string, environ, flags []string, o Options) (*Daemon, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	overrides, err := ParseOverrides(DefaultDaemon(), DaemonEnvPrefix, environ, flags)
	if err != nil {
		return nil, err
	}
	return ParseDaemon(path, data, overrides, o)
}

// LoadTool is LoadDaemon for the tool. If optional is set, a missing file is the
// same as an empty one.
func LoadTool(path string, optional bool, environ []string, flags []Override) (*Tool, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if optional && (path == "" || errors.Is(err, fs.ErrNotExist)) {
		data, err = []byte("{}"), nil
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	overrides, err := ParseOverrides(DefaultTool(), ToolEnvPrefix, environ, nil)
	if err != nil {
		return nil, err
	}
	return ParseTool(path, data, append(overrides, flags...))
}

// ParseOverrides turns environment variables with the prefix and flags "path=value"
// into overrides in the order of their precedence. A variable or flag that names
// no setting is a finding.
func ParseOverrides(settings any, prefix string, environ, flags []string) ([]Override, error) {
	known := scalarPaths(settings)
	byEnv := make(map[string]string, len(known))
	for _, p := range known {
		byEnv[prefix+strings.ToUpper(strings.ReplaceAll(p, ".", "_"))] = p
	}
	var list finding.List
	var result []Override
	for _, e := range environ {
		name, value, _ := strings.Cut(e, "=")
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		o := Override{Origin: "environment variable " + name, Path: byEnv[name], Value: value}
		if o.Path == "" {
			list = append(list, finding.Finding{Path: name, Message: "the environment variable names no setting", Expected: jsonc.Nearest(name, keys(byEnv))})
			continue
		}
		result = append(result, o)
	}
	for _, f := range flags {
		path, value, ok := strings.Cut(f, "=")
		if !ok || !contains(known, path) {
			list = append(list, finding.Finding{Path: path, Message: "the flag --set names no setting", Expected: suggestFlag(jsonc.Nearest(path, known))})
			continue
		}
		result = append(result, Override{Origin: "flag --set " + path, Path: path, Value: value})
	}
	return result, list.Err()
}

func suggestFlag(nearest string) string {
	if nearest == "" {
		return "path=value"
	}
	return nearest + "=value"
}
