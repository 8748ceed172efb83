# Build, test, lint and run; see README.md.
.PHONY: build test lint check run demo fleet-demo system-demo

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# All that CI checks.
check:
	scripts/check

# EDGE_CONFIG names the configuration: make run EDGE_CONFIG=deploy/example.json
run: build
	EDGE_CONFIG="$(EDGE_CONFIG)" target/release/curlewfront-gateway

# Builds the gateway and the lab and plays the calm scenario: real gateways, stand-in servers and clients, on loopback.
demo:
	cargo build --release --locked -p curlewfront-gateway -p curlewfront-lab
	target/release/curlewfront-lab run lab/scenarios/calm.toml --out lab-out/demo
	@echo "tables and charts: lab-out/demo"

# Seven gateways that agree on one state while links, processes and power fail.
fleet-demo:
	cargo build --release --locked -p curlewfront-gateway -p curlewfront-lab -p curlewfront-cli
	target/release/curlewfront-lab run lab/scenarios/fleet-group.toml --out lab-out/fleet-demo
	@echo "summary, history and logs: lab-out/fleet-demo"

# The whole system: three core machines, four proxies, stand-in servers, clients and an operator; its leader is killed.
system-demo:
	cargo build --release --locked -p curlewfront-config-store -p curlewfront-registry -p curlewfront-proxy -p curlewfront-lab
	target/release/curlewfront-lab system run lab/scenarios/system-demo.txt --out lab-out/system-demo
	@echo "table, charts and logs: lab-out/system-demo"
