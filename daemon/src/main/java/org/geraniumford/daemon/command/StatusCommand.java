package org.geraniumford.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.operator.HostStatus;
import org.geraniumford.daemon.operator.ProcessStatus;

/** Prints the status of processes and of the hosts that each of them is connected to. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "--at IP:PORT,...";
    }

    @Override
    public String summary() {
        return "Shows processes, the hosts in their view, and how many versions each configuration is behind.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        List<ProcessStatus> processes = new ArrayList<>();
        ExitCode code = ExitCode.OK;
        try (OperatorClient client = OperatorClient.open()) {
            for (InetSocketAddress address : OperatorOptions.addresses(options)) {
                code = addStatus(client, address, processes, console) ? code : ExitCode.FAILED;
            }
        }
        console.out().println(OperatorOptions.isJson(options) ? json(processes) : tables(processes));
        return code;
    }

    /** Adds the status of a process to the list. If it cannot be read, prints the error and returns false. */
    private static boolean addStatus(
            OperatorClient client, InetSocketAddress address, List<ProcessStatus> processes, Console console) {
        try {
            processes.add(client.status(address));
            return true;
        } catch (CommandException e) {
            console.err().println("geraniumford: " + e.getMessage());
            return false;
        }
    }

    // -- rendering

    private static String json(List<ProcessStatus> processes) throws CommandException {
        try {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(processes);
        } catch (JsonProcessingException e) {
            throw CommandException.failed("cannot render the status: " + e.getMessage());
        }
    }

    private static String tables(List<ProcessStatus> processes) {
        long newestVersion = processes.stream()
                .flatMapToLong(StatusCommand::configurationVersions)
                .max()
                .orElse(0);
        Table processTable = Table.of("PROCESS", "ROLE", "DOMAIN", "STATE", "CONFIG", "BEHIND", "RUNNING", "WAITING");
        processes.forEach(process -> processTable.addRow(
                process.process(),
                process.role(),
                process.failureDomain(),
                state(process),
                process.configurationVersion(),
                newestVersion - process.configurationVersion(),
                process.running(),
                process.waiting()));
        Table hostTable = Table.of(
                "SEEN BY", "HOST", "KIND", "ADDRESS", "DOMAIN", "LINK", "LEAVING", "BACKEND", "CONFIG", "WAIT MS");
        processes.forEach(process -> process.hosts().forEach(host -> addHost(hostTable, process, host)));
        return processTable.render() + "\n\n" + hostTable.render();
    }

    private static void addHost(Table table, ProcessStatus process, HostStatus host) {
        table.addRow(
                process.process(),
                host.name(),
                host.kind(),
                host.address(),
                host.failureDomain(),
                host.connected() ? "open" : "closed",
                host.leaving() ? "yes" : "no",
                host.backendIncarnation() == 0 ? "-" : host.backendIncarnation(),
                host.configurationVersion(),
                host.estimatedWaitMicros() / 1000);
    }

    private static LongStream configurationVersions(ProcessStatus process) {
        return LongStream.concat(
                LongStream.of(process.configurationVersion()),
                process.hosts().stream().mapToLong(HostStatus::configurationVersion));
    }

    private static String state(ProcessStatus process) {
        if (process.leaving()) {
            return "leaving";
        }
        return process.ready() ? "ready" : "not ready";
    }
}
