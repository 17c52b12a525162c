package membership

// HeartbeatRouters is the number of routers that receive an agent's heartbeats. The others learn of changes by exchange.
const HeartbeatRouters = 3
