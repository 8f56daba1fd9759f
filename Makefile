# Thin wrapper over meson; see README.md.
BUILD ?= build

.PHONY: all setup demo test bench soak soak-seeds lint format pages clean
all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

$(BUILD)/build.ninja:
	meson setup $(BUILD)

setup:
	bash tools/install-packages

test: setup all
	tools/run-tests $(BUILD)

demo: setup all
	bash demo/run-demo $(BUILD)

bench: setup all
	bash bench/run-bench $(BUILD)

# One seed, or RUNS of them from SEED on: make soak SEED=7 RUNS=20 SECONDS=30
SEED ?= 1
RUNS ?= 1
SECONDS ?= 15
soak: setup all
	python3 tests/soak/soak.py $(BUILD) --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS)

soak-seeds: setup all
	python3 tests/soak/soak.py $(BUILD) --seconds 12 --seeds-file tests/soak/seeds.txt

lint: $(BUILD)/build.ninja
	bash tools/lint $(BUILD)

format:
	git ls-files '*.c' '*.h' '*.cc' | grep -v '\.pb-c\.' | xargs clang-format -i

pages: all
	tools/make-pages $(BUILD)

clean:
	rm -rf $(BUILD)
