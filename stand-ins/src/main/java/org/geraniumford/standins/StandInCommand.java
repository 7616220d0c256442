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

    /** Returns the stand-in whose name in lower case is the given one, or empty if there is none. */
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
        OptionSpec<String> weightsDigest =
                stringOption(parser, "weights-digest", "digest of the weights", defaults.weightsDigest());
        OptionSpec<Integer> capacityBlocks =
                intOption(parser, "capacity-pieces", "cache size in pieces", defaults.capacityBlocks());
        OptionSpec<Integer> slots = intOption(parser, "slots", "requests that run at once", defaults.slots());
        OptionSpec<Integer> maxWaiting =
                intOption(parser, "max-waiting", "maximum number of requests that wait", defaults.maxWaiting());
        OptionSpec<Void> ignoresFencing = parser.accepts("ignores-fencing", "accepts orders with old fencing numbers");
        OptionSpec<Double> eventLoss = doubleOption(parser, "event-loss", "fraction of cache events lost", 0);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of the random loss of cache events", 1);
        OptionSpec<Double> prefillMicros = doubleOption(
                parser, "prefill-micros", "microseconds for each prompt token", times.prefillMicrosPerToken());
        OptionSpec<Double> blockMicros = doubleOption(
                parser, "piece-micros", "microseconds added for each piece", times.prefillMicrosPerBlock());
        OptionSpec<Double> decodeMicros =
                doubleOption(parser, "decode-micros", "microseconds for each decode step", times.decodeBaseMicros());
        OptionSpec<Double> requestMicros = doubleOption(
                parser,
                "request-micros",
                "microseconds added for each running request",
                times.decodeMicrosPerRequest());
        OptionSpec<Double> loadMicros =
                doubleOption(parser, "load-micros", "microseconds to load weights", times.weightLoadMicros());
        OptionSpec<Double> transferMicros = doubleOption(
                parser, "transfer-micros", "microseconds to transfer a piece", times.transferMicrosPerBlock());
        OptionSpec<Double> eventDelayMicros = doubleOption(
                parser, "event-delay-micros", "microseconds from cache change to event", times.eventDelayMicros());
        OptionSpec<Double> loadLagMicros =
                doubleOption(parser, "load-lag-micros", "age of the load figures", times.loadReportLagMicros());
        OptionSpec<Double> timeScale = doubleOption(parser, "time-scale", "how many times faster everything is", 1);
        return options -> {
            EngineTiming timing = new EngineTiming(
                            options.valueOf(prefillMicros),
                            options.valueOf(blockMicros),
                            options.valueOf(decodeMicros),
                            options.valueOf(requestMicros),
                            options.valueOf(loadMicros),
                            options.valueOf(transferMicros),
                            options.valueOf(eventDelayMicros),
                            options.valueOf(loadLagMicros))
                    .scaled(options.valueOf(timeScale));
            EngineStandIn engine = EngineStandIn.start(new EngineOptions(
                    options.valueOf(port),
                    options.valueOf(version),
                    options.valueOf(weightsDigest),
                    options.valueOf(capacityBlocks),
                    options.valueOf(slots),
                    options.valueOf(maxWaiting),
                    !options.has(ignoresFencing),
                    options.valueOf(eventLoss),
                    options.valueOf(seed),
                    timing));
            return new RunningStandIn(engine.address(), engine::close);
        };
    }

    private static Starter serviceStarter(OptionParser parser) {
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 selects a free port", 0);
        OptionSpec<Integer> delayMillis = intOption(parser, "delay-millis", "milliseconds that a call takes", 0);
        return options -> {
            ServiceStandIn service =
                    ServiceStandIn.start(new ServiceOptions(options.valueOf(port), options.valueOf(delayMillis)));
            return new RunningStandIn(service.address(), service::close);
        };
    }

    private static Starter platformStarter(OptionParser parser) {
        PlatformOptions defaults = PlatformOptions.ofDefaults();
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 selects a free port", 0);
        OptionSpec<Integer> writesPerSecond =
                intOption(parser, "writes", "writes a second", defaults.writesPerSecond());
        OptionSpec<Integer> readsPerSecond = intOption(parser, "reads", "reads a second", defaults.readsPerSecond());
        OptionSpec<Integer> hostLagMillis =
                intOption(parser, "host-lag-millis", "milliseconds until the host list changes", 0);
        OptionSpec<Integer> loadMillis = intOption(parser, "load-millis", "milliseconds to load weights", 1000);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of the random loss of responses", 1);
        return options -> {
            PlatformStandIn platform = PlatformStandIn.start(new PlatformOptions(
                    options.valueOf(port),
                    options.valueOf(writesPerSecond),
                    options.valueOf(readsPerSecond),
                    options.valueOf(hostLagMillis),
                    options.valueOf(loadMillis),
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

    /** A running stand-in: the address that it listens on and the action that stops it. */
    record RunningStandIn(InetSocketAddress address, Runnable stop) {
        void close() {
            stop.run();
        }
    }
}
