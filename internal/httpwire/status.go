package httpwire

// IsValidStatus reports whether a status that package net/http has parsed is one of a response. For net/http, any three
// bytes that are a number are a status, for example "000" or "+20".
func IsValidStatus(status int) bool { return status >= 100 && status <= 599 }
