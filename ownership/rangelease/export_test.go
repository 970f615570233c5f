package rangelease

// SkipTokens counts fencing tokens as issued, as if the grantor had led for longer.
func (g *Grantor) SkipTokens(n uint64) { g.tokensIssued += n }
