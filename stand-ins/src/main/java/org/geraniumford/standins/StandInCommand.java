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

    /** Declares the options and says how to start with them. */
    abstract Starter starter(OptionParser parser);

    private static Starter engineStarter(OptionParser parser) {
        EngineOptions standard = EngineOptions.ofDefaults();
        EngineTiming times = standard.timing();
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 takes a free one", 0);
        OptionSpec<String> version = stringOption(parser, "model-version", "model version", standard.modelVersion());
        OptionSpec<String> weights =
                stringOption(parser, "weights-digest", "digest of the weights", standard.weightsDigest());
        OptionSpec<Integer> capacity =
                intOption(parser, "capacity-pieces", "cache size in pieces", standard.capacityBlocks());
        OptionSpec<Integer> slots = intOption(parser, "slots", "requests that run at once", standard.slots());
        OptionSpec<Integer> waiting =
                intOption(parser, "max-waiting", "requests that wait at most", standard.maxWaiting());
        OptionSpec<Void> ignores = parser.accepts("ignores-fencing", "takes orders with old fencing numbers");
        OptionSpec<Double> loss = doubleOption(parser, "event-loss", "fraction of cache events lost", 0);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of what is lost", 1);
        OptionSpec<Double> prefill = doubleOption(
                parser, "prefill-micros", "microseconds for each prompt token", times.prefillMicrosPerToken());
        OptionSpec<Double> piece = doubleOption(
                parser, "piece-micros", "microseconds for each piece besides", times.prefillMicrosPerBlock());
        OptionSpec<Double> decode =
                doubleOption(parser, "decode-micros", "microseconds for each decode step", times.decodeBaseMicros());
        OptionSpec<Double> request = doubleOption(
                parser,
                "request-micros",
                "microseconds added for each running request",
                times.decodeMicrosPerRequest());
        OptionSpec<Double> load =
                doubleOption(parser, "load-micros", "microseconds to load weights", times.weightLoadMicros());
        OptionSpec<Double> transfer =
                doubleOption(parser, "transfer-micros", "microseconds to move a piece", times.transferMicrosPerBlock());
        OptionSpec<Double> delay = doubleOption(
                parser, "event-delay-micros", "microseconds until a cache event", times.eventDelayMicros());
        OptionSpec<Double> lag =
                doubleOption(parser, "load-lag-micros", "age of the load figures", times.loadReportLagMicros());
        OptionSpec<Double> scale = doubleOption(parser, "time-scale", "how many times faster everything is", 1);
        return set -> {
            EngineTiming timing = new EngineTiming(
                            set.valueOf(prefill),
                            set.valueOf(piece),
                            set.valueOf(decode),
                            set.valueOf(request),
                            set.valueOf(load),
                            set.valueOf(transfer),
                            set.valueOf(delay),
                            set.valueOf(lag))
                    .scaled(set.valueOf(scale));
            EngineStandIn engine = EngineStandIn.start(new EngineOptions(
                    set.valueOf(port),
                    set.valueOf(version),
                    set.valueOf(weights),
                    set.valueOf(capacity),
                    set.valueOf(slots),
                    set.valueOf(waiting),
                    !set.has(ignores),
                    set.valueOf(loss),
                    set.valueOf(seed),
                    timing));
            return new RunningStandIn(engine.address(), engine::close);
        };
    }

    private static Starter serviceStarter(OptionParser parser) {
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 takes a free one", 0);
        OptionSpec<Integer> delay = intOption(parser, "delay-millis", "milliseconds that a call takes", 0);
        return set -> {
            ServiceStandIn service = ServiceStandIn.start(new ServiceOptions(set.valueOf(port), set.valueOf(delay)));
            return new RunningStandIn(service.address(), service::close);
        };
    }

    private static Starter platformStarter(OptionParser parser) {
        PlatformOptions standard = PlatformOptions.ofDefaults();
        OptionSpec<Integer> port = intOption(parser, "port", "port on loopback; 0 takes a free one", 0);
        OptionSpec<Integer> writes = intOption(parser, "writes", "writes a second", standard.writesPerSecond());
        OptionSpec<Integer> reads = intOption(parser, "reads", "reads a second", standard.readsPerSecond());
        OptionSpec<Integer> lag = intOption(parser, "host-lag-millis", "milliseconds until the host list changes", 0);
        OptionSpec<Integer> load = intOption(parser, "load-millis", "milliseconds to load weights", 1000);
        OptionSpec<Integer> seed = intOption(parser, "seed", "seed of which replies are lost", 1);
        return set -> {
            PlatformStandIn platform = PlatformStandIn.start(new PlatformOptions(
                    set.valueOf(port),
                    set.valueOf(writes),
                    set.valueOf(reads),
                    set.valueOf(lag),
                    set.valueOf(load),
                    set.valueOf(seed)));
            return new RunningStandIn(platform.address(), platform::close);
        };
    }

    // -- options

    private static OptionSpec<Integer> intOption(OptionParser parser, String name, String meaning, int standard) {
        return parser.accepts(name, meaning)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(standard);
    }

    private static OptionSpec<Double> doubleOption(OptionParser parser, String name, String meaning, double standard) {
        return parser.accepts(name, meaning)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(standard);
    }

    private static OptionSpec<String> stringOption(OptionParser parser, String name, String meaning, String standard) {
        return parser.accepts(name, meaning).withRequiredArg().defaultsTo(standard);
    }

    /** Starts a stand-in with the options of a command line. */
    interface Starter {
        RunningStandIn start(OptionSet options);
    }

    /** A stand-in that runs. */
    record RunningStandIn(InetSocketAddress address, Runnable stop) {
        void close() {
            stop.run();
        }
    }
}
