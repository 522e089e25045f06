package standin

const valdiviaClasses = `kind = "classes"

[[class]]
name = "quick-lookup"
index = "enrolment"
scope = "all"
priority = 0
prefer = "latency"
latency_target = "120ms"
deadline = "500ms"
canary = "suspect"

[[class]]
name = "course-finder"
index = "enrolment"
scope = "all"
priority = 1
prefer = "latency"
latency_target = "400ms"
deadline = "1s"
canary = "suspect"

[[class]]
name = "blank-stock"
index = "inventory"
scope = "all"
priority = 2
prefer = "latency"
latency_target = "400ms"
deadline = "1s"
canary = "suspect"

[[class]]
name = "roster"
index = "roster"
scope = "one"
priority = 1
prefer = "latency"
latency_target = "100ms"
deadline = "500ms"
canary = "suspect"

[[class]]
name = "enrol"
index = "enrolment"
scope = "one"
priority = 0
prefer = "coverage"
latency_target = "1s"
deadline = "2s"
canary = "never"
submits = true

[[class]]
name = "billing"
index = "billing"
scope = "one"
priority = 1
prefer = "coverage"
latency_target = "1s"
deadline = "2s"
canary = "never"
submits = true
`

const kelaniClasses = `kind = "classes"

[[class]]
name = "driver-lookup"
index = "search"
scope = "all"
priority = 0
prefer = "coverage"
latency_target = "200ms"
deadline = "1s"
canary = "always"

[[class]]
name = "salinity-match"
index = "search"
scope = "all"
priority = 0
prefer = "coverage"
latency_target = "200ms"
deadline = "1s"
canary = "always"

[[class]]
name = "treated-water-stock"
index = "ledger"
scope = "all"
priority = 1
prefer = "coverage"
latency_target = "400ms"
deadline = "2s"
canary = "always"

[[class]]
name = "order-status"
index = "portal"
scope = "one"
priority = 1
prefer = "coverage"
latency_target = "200ms"
deadline = "1s"
canary = "suspect"

[[class]]
name = "order-history"
index = "ledger"
scope = "all"
priority = 2
prefer = "coverage"
latency_target = "1s"
deadline = "3s"
canary = "always"

[[class]]
name = "desk-report"
index = "reports"
scope = "one"
priority = 3
prefer = "coverage"
latency_target = "2s"
deadline = "5s"
canary = "always"

[[class]]
name = "water-order"
index = "portal"
scope = "one"
priority = 0
prefer = "coverage"
latency_target = "1s"
deadline = "2s"
canary = "never"
submits = true
`
