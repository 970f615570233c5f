package edge

import (
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// applyConfig activates a configuration that is newer than the active one. The era is that of its
// store version.
func (c *controlLoop) applyConfig(obj store.Object, era store.Era) {
	_, name := c.platform.ConfigObject()
	if obj.Name != name || era == c.configEra && obj.Version <= c.configVersion {
		return
	}
	config, findings := c.platform.DecodeConfig(obj)
	for _, f := range findings {
		c.log.Warn().Str("event", "config.finding").Uint64("store_version", uint64(obj.Version)).Str("finding", f.String()).Send()
	}
	c.metrics.configFindings.Update(int64(len(findings)))
	if config == nil || era != c.configEra && c.isOlderConfig(obj, era, config) {
		return
	}
	c.configVersion, c.configEra, c.configObject = obj.Version, era, obj
	c.shared.config.Store(config)
	c.setWarmUpRates(socket.BootTime(), config)
	if c.targets.setServices(config.Services) {
		c.activateLiveTargets(socket.BootTime())
	}
	c.log.Info().Str("event", "config.in_force").Uint64("config_version", config.Version).
		Uint64("store_version", uint64(obj.Version)).Int("routes", config.RouteCount()).Send()
	if c.leadership != nil {
		c.leadership.applyConfig(config)
	}
}

// isOlderConfig reports whether a configuration of another era than the active one must not be
// activated: it may be from an older copy. The operator's version decides, because the operator
// writes the newest version again after a restore.
func (c *controlLoop) isOlderConfig(obj store.Object, era store.Era, config *routing.Config) bool {
	active := c.shared.config.Load()
	if active == nil || config.Version > active.Version || config.Version == active.Version && era > c.configEra {
		return false
	}
	c.log.Warn().Str("event", "config.older_ignored").Uint64("config_version", config.Version).Uint64("active_version", active.Version).
		Uint64("store_version", uint64(obj.Version)).Uint64("era", uint64(era)).Send()
	return true
}
