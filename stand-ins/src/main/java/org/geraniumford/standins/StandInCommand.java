package org.geraniumford.standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.geraniumford.standins.engine.EngineOptions;
import org.geraniumford.standins.engine.EngineStandIn;
import org.geraniumford.standins.engine.EngineTiming;
import org.geraniumford.standins.platform.PlatformOptions;
import org.geraniumford.standins.platform.PlatformStandIn;
import org.geraniumford.standins.service.ServiceOptions;
import org.geraniumford.standins.service.ServiceStandIn;

/** The stand-ins that the command line can start. */
enum StandInCommand {
    ENGINE {
        @Override
        Starter starter(OptionParser parser) {
            return engineStarter(parser);
        }
    },
    SERVICE {
        @Override
        Starter starter(OptionParser parser) {
            return serviceStarter(parser);
        }
    },
    PLATFORM {
        @Override
        Starter starter(OptionParser parser) {
            return platformStarter(parser);
        }
    };

    // -- queries

    static Optional<StandInCommand> find(String name) {
        return Arrays.stream(values())
                .filter(command -> command.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    // -- commands

    RunningStandIn start(String[] args) {
        OptionParser parser = new OptionParser();
        Starter starter = starter(parser);
        return starter.start(parser.parse(args));
    }

    void printHelp(PrintWriter console) throws IOException {
        OptionParser parser = new OptionParser();
        starter(parser);
        parser.printHelpOn(console);
        console.flush();
    }

    /** Declares the options on a parser and returns the starter that reads them. */
    abstract Starter starter(OptionParser parser);

    private static Starter engineStarter(OptionParser parser) {
        EngineOptions defaults = EngineOptions.ofDefaults();
        EngineTiming times = defaults.timing();
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 selects a free port", 0);
        OptionSpec<String> version = stringOption(parser, "model-version", "model version", defaults.modelVersion());
        OptionSpec<String> weights =
                stringOption(parser, "weights-digest", "digest of the weights", defaults.weightsDigest());
        OptionSpec<Integer> capacity =
                intOption(parser, "capacity-pieces", "cache size in pieces", defaults.capacityBlocks());
        OptionSpec<Integer> slots = intOption(parser, "slots", "requests that run at once", defaults.slots());
        OptionSpec<Integer> maxWaiting =
                intOption(parser, "max-waiting", "maximum number of requests that wait", defaults.maxWaiting());
        OptionSpec<Void> ignoresFencing = parser.accepts("ignores-fencing", "accepts orders with old fencing numbers");
        OptionSpec<Double> loss = doubleOption(parser, "event-loss", "fraction of cache events lost", 0);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of the random loss of cache events", 1);
        OptionSpec<Double> prefill = doubleOption(
                parser, "prefill-micros", "microseconds for each prompt token", times.prefillMicrosPerToken());
        OptionSpec<Double> block = doubleOption(
                parser, "piece-micros", "microseconds added for each piece", times.prefillMicrosPerBlock());
        OptionSpec<Double> decode =
                doubleOption(parser, "decode-micros", "microseconds for each decode step", times.decodeBaseMicros());
        OptionSpec<Double> request = doubleOption(
                parser,
                "request-micros",
                "microseconds added for each running request",
                times.decodeMicrosPerRequest());
        OptionSpec<Double> load =
                doubleOption(parser, "load-micros", "microseconds to load weights", times.weightLoadMicros());
        OptionSpec<Double> transfer = doubleOption(
                parser, "transfer-micros", "microseconds to transfer a piece", times.transferMicrosPerBlock());
        OptionSpec<Double> delay = doubleOption(
                parser, "event-delay-micros", "microseconds from cache change to event", times.eventDelayMicros());
        OptionSpec<Double> lag =
                doubleOption(parser, "load-lag-micros", "age of the load figures", times.loadReportLagMicros());
        OptionSpec<Double> scale = doubleOption(parser, "time-scale", "how many times faster everything is", 1);
        return options -> {
            EngineTiming timing = new EngineTiming(
                            options.valueOf(prefill),
                            options.valueOf(block),
                            options.valueOf(decode),
                            options.valueOf(request),
                            options.valueOf(load),
                            options.valueOf(transfer),
                            options.valueOf(delay),
                            options.valueOf(lag))
                    .scaled(options.valueOf(scale));
            EngineStandIn engine = EngineStandIn.start(new EngineOptions(
                    options.valueOf(port),
                    options.valueOf(version),
                    options.valueOf(weights),
                    options.valueOf(capacity),
                    options.valueOf(slots),
                    options.valueOf(maxWaiting),
                    !options.has(ignoresFencing),
                    options.valueOf(loss),
                    options.valueOf(seed),
                    timing));
            return new RunningStandIn(engine.address(), engine::close);
        };
    }

    private static Starter serviceStarter(OptionParser parser) {
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 selects a free port", 0);
        OptionSpec<Integer> delay = intOption(parser, "delay-millis", "milliseconds that a call takes", 0);
        return options -> {
            ServiceStandIn service =
                    ServiceStandIn.start(new ServiceOptions(options.valueOf(port), options.valueOf(delay)));
            return new RunningStandIn(service.address(), service::close);
        };
    }

    private static Starter platformStarter(OptionParser parser) {
        PlatformOptions defaults = PlatformOptions.ofDefaults();
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 selects a free port", 0);
        OptionSpec<Integer> writes = intOption(parser, "writes", "writes a second", defaults.writesPerSecond());
        OptionSpec<Integer> reads = intOption(parser, "reads", "reads a second", defaults.readsPerSecond());
        OptionSpec<Integer> lag = intOption(parser, "host-lag-millis", "milliseconds until the host list changes", 0);
        OptionSpec<Integer> load = intOption(parser, "load-millis", "milliseconds to load weights", 1000);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of the random loss of responses", 1);
        return options -> {
            PlatformStandIn platform = PlatformStandIn.start(new PlatformOptions(
                    options.valueOf(port),
                    options.valueOf(writes),
                    options.valueOf(reads),
                    options.valueOf(lag),
                    options.valueOf(load),
                    options.valueOf(seed)));
            return new RunningStandIn(platform.address(), platform::close);
        };
    }

    // -- options

    private static OptionSpec<Integer> intOption(
            OptionParser parser, String name, String description, int defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    private static OptionSpec<Double> doubleOption(
            OptionParser parser, String name, String description, double defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(defaultValue);
    }

    private static OptionSpec<String> stringOption(
            OptionParser parser, String name, String description, String defaultValue) {
        return parser.accepts(name, description).withRequiredArg().defaultsTo(defaultValue);
    }

    /** Starts a stand-in with the options of a command line. */
    interface Starter {
        RunningStandIn start(OptionSet options);
    }

    /** A running stand-in. */
    record RunningStandIn(InetSocketAddress address, Runnable stop) {
        void close() {
            stop.run();
        }
    }
}
