package settings

import "time"

// Tool holds the settings of the command-line tool.
type Tool struct {
	// Address is the host:port of the operator listener of any instance.
	Address string `json:"address"`
	// TokenFile holds the operator's token.
	TokenFile string `json:"token_file"`
	// TLS has the keys of the connection. Mode "files" needs ca_file only.
	TLS TLS `json:"tls"`
	// Output is text or json. Default text.
	Output string `json:"output"`
	// Timeout bounds one call of the operator API. Default 10s.
	Timeout Duration `json:"timeout"`
	// WaitTimeout bounds the wait until a table version is in force. Default 30s.
	WaitTimeout Duration `json:"wait_timeout"`
	// ConfirmShare is the share of a service's capacity above which a change that
	// takes it away needs a confirmation, from 0 to 1. Default 0.25.
	ConfirmShare float64 `json:"confirm_share"`
}

// Defaults of the tool.
const (
	defaultToolAddress  = "127.0.0.1:7004"
	defaultToolTimeout  = Duration(10 * time.Second)
	defaultWaitTimeout  = Duration(30 * time.Second)
	defaultConfirmShare = 0.25
)

// DefaultTool returns the defaults.
func DefaultTool() *Tool {
	return &Tool{
		Address: defaultToolAddress, Output: "text", TLS: TLS{Mode: ModePlain},
		Timeout: defaultToolTimeout, WaitTimeout: defaultWaitTimeout, ConfirmShare: defaultConfirmShare,
	}
}
