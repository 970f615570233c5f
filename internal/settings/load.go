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

// Prefixes of environment variables. The rest of the name is the JSON path in upper case
// with underscores for dots: BORAGEGATED_LISTEN_CALLER sets listen.caller.
const (
	DaemonEnvPrefix = "BORAGEGATED_"
	ToolEnvPrefix   = "BORAGEGATE_"
)

// Override is a setting from an environment variable or a flag, which takes
// precedence over the file.
type Override struct {
	// Origin names the source in findings, for example "environment variable BORAGEGATED_ZONE".
	Origin string
	// Path is the JSON path of the setting, for example "listen.caller".
	Path string
	// Value is the text to set. Durations are written as "3s", numbers and booleans as in JSON.
	Value string
}

// Options configures the validation of the daemon's settings.
type Options struct {
	// StoreModules lists the accepted store modules; nil accepts every module.
	StoreModules []string
	// CheckStore validates the configuration of the store module; nil skips that check.
	CheckStore func(Store) error
}

// ParseDaemon decodes and validates the settings of an instance from JSON with
// comments. Overrides apply in order; file is the name of the input in findings. The
// error is a finding.List.
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

// ParseTool decodes and validates the settings of the command-line tool from JSON
// with comments. Overrides apply in order; file is the name of the input in findings.
// The error is a finding.List.
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

// LoadDaemon loads the settings of an instance from a file and overrides them with
// the environment, in the form of os.Environ, and then with the flags, each
// "path=value". The error is a finding.List unless the file cannot be read.
func LoadDaemon(path string, environ, flags []string, o Options) (*Daemon, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("settings: read file: %w", err)
	}
	overrides, err := ParseOverrides(DefaultDaemon(), DaemonEnvPrefix, environ, flags)
	if err != nil {
		return nil, err
	}
	return ParseDaemon(path, data, overrides, o)
}

// LoadTool loads the settings of the command-line tool from a file and overrides
// them with the environment, in the form of os.Environ, and then with the flags.
// If optional is set, an empty path or a missing file counts as an empty file. The
// error is a finding.List unless the file cannot be read.
func LoadTool(path string, optional bool, environ []string, flags []Override) (*Tool, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if optional && (path == "" || errors.Is(err, fs.ErrNotExist)) {
		data, err = []byte("{}"), nil
	}
	if err != nil {
		return nil, fmt.Errorf("settings: read file: %w", err)
	}
	overrides, err := ParseOverrides(DefaultTool(), ToolEnvPrefix, environ, nil)
	if err != nil {
		return nil, err
	}
	return ParseTool(path, data, append(overrides, flags...))
}

// ParseOverrides converts environment variables with the prefix and flags of the
// form "path=value" into overrides, with the flags last because they take
// precedence. The argument settings is a pointer to a struct whose scalar fields can
// be overridden. The error is a finding.List with the variables and flags that name
// no setting.
func ParseOverrides(settings any, prefix string, environ, flags []string) ([]Override, error) {
	known := scalarPaths(settings)
	pathByVariable := make(map[string]string, len(known))
	for _, p := range known {
		pathByVariable[prefix+strings.ToUpper(strings.ReplaceAll(p, ".", "_"))] = p
	}
	var list finding.List
	var overrides []Override
	for _, e := range environ {
		name, value, _ := strings.Cut(e, "=")
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		o := Override{Origin: "environment variable " + name, Path: pathByVariable[name], Value: value}
		if o.Path == "" {
			list = append(list, finding.Finding{Path: name, Message: "the environment variable names no setting", Expected: jsonc.Nearest(name, keys(pathByVariable))})
			continue
		}
		overrides = append(overrides, o)
	}
	for _, f := range flags {
		path, value, ok := strings.Cut(f, "=")
		if !ok || !contains(known, path) {
			list = append(list, finding.Finding{Path: path, Message: "the flag --set names no setting", Expected: suggestFlag(jsonc.Nearest(path, known))})
			continue
		}
		overrides = append(overrides, Override{Origin: "flag --set " + path, Path: path, Value: value})
	}
	return overrides, list.Err()
}

// suggestFlag returns the expected form of a flag, with the closest known path if there is one.
func suggestFlag(nearest string) string {
	if nearest == "" {
		return "path=value"
	}
	return nearest + "=value"
}
