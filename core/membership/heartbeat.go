package membership

// HeartbeatRouters is the number of routers that hear an agent directly. The others learn of changes by exchange.
const HeartbeatRouters = 3
