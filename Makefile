# Commands of the README. Each one installs what it needs and builds first.
BUILD ?= build
TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)

.PHONY: all install build test demo bench capacity format lint clean
all: build

install:
	@bash tools/install_packages.sh

build: install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(TYPE) > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@bash tools/check_known_red.sh $(BUILD)

demo: build
	@bash tools/demo.sh $(BUILD)

bench: build
	@bash tools/bench.sh $(BUILD)

capacity: build
	@$(BUILD)/capacity

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	@bash tools/lint.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
