package org.geraniumford.daemon.command;

import java.net.InetSocketAddress;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.settings.SettingType;

/** The options of the commands that send requests to the operator ports of processes. */
final class OperatorOptions {
    private static final String AT = "at";
    private static final String JSON = "json";

    private OperatorOptions() {}

    static void declare(OptionParser parser) {
        parser.accepts(AT, "operator addresses, IP:PORT, separated by commas")
                .withRequiredArg()
                .required();
        parser.accepts(JSON, "print JSON for programs");
    }

    /** Returns the addresses that the command line gives, at least one. */
    static List<InetSocketAddress> addresses(OptionSet options) throws CommandException {
        String text = (String) options.valueOf(AT);
        try {
            List<InetSocketAddress> addresses = SettingType.addresses().parser().apply(text);
            if (!addresses.isEmpty()) {
                return addresses;
            }
        } catch (IllegalArgumentException e) {
            throw invalidAddresses(text);
        }
        throw invalidAddresses(text);
    }

    static boolean isJson(OptionSet options) {
        return options.has(JSON);
    }

    private static CommandException invalidAddresses(String text) {
        return CommandException.usage("--" + AT + ": '" + text + "' is not a list of IP:PORT");
    }
}
